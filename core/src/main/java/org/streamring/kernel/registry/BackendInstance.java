package org.streamring.kernel.registry;

/**
 * One incarnation of a backend server, as it registered itself.
 *
 * @param id identifier of the incarnation
 * @param service service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain failure domain of its box
 * @param slots requests that it works on at once
 * @param ready whether it takes new requests; false while it leaves
 * @param coldMillis how long it stays cold from when it said so, in milliseconds; 0 if it is warm
 */
public record BackendInstance(
        String id,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean ready,
        long coldMillis) {}
