package org.streamring.kernel.routing;

/**
 * Load of a backend server as reported by its sidecar.
 *
 * @param running attempts in progress
 * @param capacity maximum number of concurrent attempts at the backend server
 * @param leaving whether the backend server is shutting down and accepts no new attempts
 */
public record LoadReport(int running, int capacity, boolean leaving) {
    /** Value used before the first report arrives. */
    public static final LoadReport NONE = new LoadReport(0, 1, false);
}
