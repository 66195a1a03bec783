package org.streamring.platform.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;

/**
 * Settings of one process.
 *
 * @param nodeName name of the box
 * @param failureDomain failure domain of the box
 * @param callers address where callers connect
 * @param readiness address where the balancer asks whether the process is ready
 * @param peers address where other entries connect
 * @param metrics address where metrics are served
 * @param grace time from the signal to stop to the forced end
 * @param keepLapsed how long a backend server's lapsed entry is kept after the store is back
 * @param drainTime how long a backend server serves after it said that it leaves
 * @param retries limit on retries that all entries share
 * @param cold what a cold backend server bears beyond its rate
 * @param linkBytesPerSecond what the box's own link carries; empty if the platform doesn't say
 */
public record NodeSettings(
        String nodeName,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress metrics,
        Duration grace,
        Duration keepLapsed,
        Duration drainTime,
        RetryLimit retries,
        ColdMargin cold,
        OptionalLong linkBytesPerSecond) {

    /**
     * A limit on retries: in every window, retries &le; ratio × requests + slack.
     *
     * @param ratio retries per request
     * @param slack retries besides
     * @param window length of the window
     */
    public record RetryLimit(double ratio, double slack, Duration window) {}

    /**
     * What a cold backend server bears in any second: factor × its rate + slack.
     *
     * @param factor of its rate
     * @param slack requests besides
     */
    public record ColdMargin(double factor, double slack) {
        /** Requests in any second beyond which the server may fall over. */
        public double mostInSecond(double perSecond) {
            return factor * perSecond + slack;
        }
    }
}
