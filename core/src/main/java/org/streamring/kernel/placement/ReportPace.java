package org.streamring.kernel.placement;

import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Limits the rate of early reports, which inform other entries of long prompts before the next regular report. Confined
 * to one thread.
 *
 * <p>A report is sent to every other entry. With a report after every long prompt, up to 100 per second, the busiest of
 * 30 entries sent 0.5 MB/s of reports to 29 entries over a 10 Mbit/s link, and only 0.15 MB/s of requests to servers.
 */
public final class ReportPace {
    /** Fraction of the link that reports may use; the rest is left for requests and answers. */
    static final double MAX_LINK_FRACTION = 0.1;

    /** Long prompts within this time share one report. */
    static final long MIN_DELAY_MILLIS = 10;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Supplier<OptionalLong> bytesPerSecond;
    private double nextReportMillis;

    /**
     * Creates a rate limiter.
     *
     * @param bytesPerSecond supplies the rate of the link of this box; empty if it is unknown, which means no limit
     */
    public ReportPace(Supplier<OptionalLong> bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Records a report, early or regular, with its total number of bytes to all recipients. */
    public void recordReport(long bytes, long nowMillis) {
        OptionalLong rate = bytesPerSecond.get();
        double linkMillis = rate.isEmpty() ? 0 : bytes * MILLIS_PER_SECOND / (rate.getAsLong() * MAX_LINK_FRACTION);
        nextReportMillis = Math.max(nextReportMillis, (double) nowMillis) + linkMillis;
    }

    /** Returns the time in milliseconds that an early report has to wait. */
    public long waitMillis(long nowMillis) {
        return Math.max(MIN_DELAY_MILLIS, (long) Math.ceil(nextReportMillis - nowMillis));
    }
}
