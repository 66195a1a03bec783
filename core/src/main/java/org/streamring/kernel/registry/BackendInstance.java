package org.streamring.kernel.registry;

/**
 * A backend server, as it registered itself.
 *
 * @param id its identifier, which may outlive its process
 * @param service service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param failureDomain failure domain of its box
 * @param slots requests that it works on at once
 * @param ready whether it takes new requests; false while it leaves
 * @param coldMillis how long it stays cold from when it said so, in milliseconds; 0 if it is warm
 * @param bornMillis when its process started, in milliseconds of its own time of day; 0 if it doesn't say
 */
public record BackendInstance(
        String id,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean ready,
        long coldMillis,
        long bornMillis) {

    /** Names this life of its process: one that starts again under its identifier is another incarnation. */
    public String incarnation() {
        return id + "@" + bornMillis;
    }
}
