package org.streamring.kernel.admission;

import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * How long what this box writes waits for its own link, reckoned by the link's rate, and whether a request may be
 * added. Confined to one thread.
 *
 * <p>The load pattern that it answers: the balancer hands each caller to an entry by a hash, so a busy account's
 * callers can ask more of one entry than its link carries. What is written then waits in the link's queue for seconds,
 * out of reach: it arrives after its caller has left, and so does the news of that.
 */
public final class LinkPace {
    /** Half of the time in which a caller's leaving must reach a server. */
    static final long MOST_QUEUED_MILLIS = 250;

    /** Bytes of one packet: holding them back would not shorten the queue. */
    static final long SMALL_BYTES = 1_460;

    /** The rest is for headers of packets, other entries and the store. */
    private static final double PART_OF_LINK = 0.9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Supplier<OptionalLong> bytesPerSecond;
    private double emptyAtMillis;

    /**
     * Starts with an empty queue.
     *
     * @param bytesPerSecond what the link carries; empty if that is not known, in which case nothing is held back
     */
    public LinkPace(Supplier<OptionalLong> bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Notes bytes that are written. */
    public void written(long bytes, long nowMillis) {
        emptyAtMillis = Math.max(emptyAtMillis, (double) nowMillis) + millisFor(bytes);
    }

    /** Takes back bytes that were noted and are not written after all. */
    public void notWritten(long bytes) {
        emptyAtMillis -= millisFor(bytes);
    }

    /** How long bytes that are written now wait for the link. */
    public long queuedMillis(long nowMillis) {
        return (long) Math.max(0, emptyAtMillis - nowMillis);
    }

    /** Time until a request of so many bytes may be written; 0 if it may now. */
    public long closedMillis(long bytes, long nowMillis) {
        return bytes <= SMALL_BYTES ? 0 : Math.max(0, queuedMillis(nowMillis) - MOST_QUEUED_MILLIS);
    }

    private double millisFor(long bytes) {
        OptionalLong rate = bytesPerSecond.get();
        return rate.isEmpty() ? 0 : bytes * MILLIS_PER_SECOND / (rate.getAsLong() * PART_OF_LINK);
    }
}
