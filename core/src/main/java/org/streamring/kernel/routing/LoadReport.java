package org.streamring.kernel.routing;

/**
 * A sidecar's report on its backend server.
 *
 * @param running attempts in progress
 * @param capacity most attempts that it takes
 * @param leaving whether it takes no new work
 */
public record LoadReport(int running, int capacity, boolean leaving) {
    /** Before the first report. */
    public static final LoadReport NONE = new LoadReport(0, 1, false);
}
