package org.streamring.platform.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;

/**
 * Settings of one process.
 *
 * @param nodeName name of the box
 * @param failureDomain failure domain of the box
 * @param callers listening address for callers
 * @param readiness listening address for the readiness checks of the load balancer
 * @param peers listening address for other entries
 * @param metrics listening address for the metrics endpoint
 * @param stopGracePeriod time from the stop signal until the process is killed
 * @param lapsedRetention how long the lapsed entry of a backend server is kept after the end of a store outage
 * @param drainTime how long a backend server keeps serving after announcing its shutdown
 * @param retries retry limit shared by all entries
 * @param cold short-term load that a cold backend server can handle above its rate
 * @param linkBytesPerSecond bandwidth of the network link of the box; empty if the platform does not specify it
 */
public record NodeSettings(
        String nodeName,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress metrics,
        Duration stopGracePeriod,
        Duration lapsedRetention,
        Duration drainTime,
        RetryLimit retries,
        ColdMargin cold,
        OptionalLong linkBytesPerSecond) {

    /**
     * Retry limit: in every window, retries &le; ratio × requests + slack.
     *
     * @param ratio retries per request
     * @param slack additional retries per window
     * @param window length of the window
     */
    public record RetryLimit(double ratio, double slack, Duration window) {}

    /**
     * Maximum number of requests that a cold backend server can handle in any second: factor × its rate + slack.
     *
     * @param factor multiple of its rate
     * @param slack additional requests
     */
    public record ColdMargin(double factor, double slack) {
        /** Returns the number of requests in any second above which the backend server may crash. */
        public double mostInSecond(double perSecond) {
            return factor * perSecond + slack;
        }
    }
}
