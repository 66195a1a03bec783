package org.streamring.kernel.registry;

/**
 * Backend server as described by its row in the list of backend servers.
 *
 * @param id identifier, which a later process may use again
 * @param service service to which the server belongs
 * @param host IP address
 * @param port TCP port
 * @param failureDomain failure domain of its box
 * @param slots number of requests that the server runs concurrently
 * @param ready whether the server accepts new requests; false while it is shutting down
 * @param coldMillis remaining warm-up time of a cold server when it wrote the row, in milliseconds; 0 if it is warm
 * @param startedMillis start time of its process, in milliseconds of its own wall clock; 0 if not given
 * @param softwareVersion version of the server's software; streams of different versions do not fit together
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
        long startedMillis,
        String softwareVersion) {

    /** Returns the name of this process; a process that restarts under the same identifier is another incarnation. */
    public String incarnation() {
        return id + "@" + startedMillis;
    }
}
