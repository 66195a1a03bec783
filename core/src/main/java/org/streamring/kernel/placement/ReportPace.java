package org.streamring.kernel.placement;

import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * When long prompts may be told to other entries before the next regular report. Confined to one thread.
 *
 * <p>A report goes to each other entry. Told after every long prompt, up to 100 times a second, reports to 29 entries
 * took 0.5 MB/s of a link of 10 Mbit/s at the busiest of 30 entries, where its requests to servers took 0.15 MB/s.
 */
public final class ReportPace {
    /** Reports of long prompts leave the rest to requests and answers. */
    static final double PART_OF_LINK = 0.1;

    /** Long prompts that come together share a report. */
    static final long SOONEST_MILLIS = 10;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Supplier<OptionalLong> bytesPerSecond;
    private double nextMillis;

    /**
     * Creates one.
     *
     * @param bytesPerSecond what the box's link carries; empty if that is not known
     */
    public ReportPace(Supplier<OptionalLong> bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Notes a report, early or not, with its bytes to all that were told. */
    public void told(long bytes, long nowMillis) {
        OptionalLong rate = bytesPerSecond.get();
        double takes = rate.isEmpty() ? 0 : bytes * MILLIS_PER_SECOND / (rate.getAsLong() * PART_OF_LINK);
        nextMillis = Math.max(nextMillis, (double) nowMillis) + takes;
    }

    /** How long an early report waits. */
    public long waitMillis(long nowMillis) {
        return Math.max(SOONEST_MILLIS, (long) Math.ceil(nextMillis - nowMillis));
    }
}
