package org.streamring.kernel.admission;

import java.util.EnumMap;
import java.util.Map;
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
    public static final long MOST_QUEUED_MILLIS = 250;

    /** Bytes of one packet: holding them back would not shorten the queue. */
    static final long SMALL_BYTES = 1_460;

    /** The rest is for headers of packets, the store, and frames to other entries that are not reports of load. */
    private static final double PART_OF_LINK = 0.9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Supplier<OptionalLong> bytesPerSecond;
    private final Map<Traffic, Long> bytes = new EnumMap<>(Traffic.class);
    private double emptyAtMillis;

    /** What the link carries. */
    public enum Traffic {
        /** Requests to servers. */
        REQUESTS,
        /** Answers of servers that are passed on to callers. */
        ANSWERS,
        /** Reports of load to other entries. */
        REPORTS
    }

    /**
     * Starts with an empty queue.
     *
     * @param bytesPerSecond what the link carries; empty if that is not known, in which case nothing is held back
     */
    public LinkPace(Supplier<OptionalLong> bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Notes bytes that are written. */
    public void written(Traffic traffic, long count, long nowMillis) {
        bytes.merge(traffic, count, Long::sum);
        emptyAtMillis = Math.max(emptyAtMillis, (double) nowMillis) + millisFor(count);
    }

    /** Takes back bytes that were noted and are not written after all. */
    public void notWritten(Traffic traffic, long count) {
        bytes.merge(traffic, -count, Long::sum);
        emptyAtMillis -= millisFor(count);
    }

    /** Bytes written so far. */
    public long bytes(Traffic traffic) {
        return bytes.getOrDefault(traffic, 0L);
    }

    /** How long bytes that are written now wait for the link. */
    public long queuedMillis(long nowMillis) {
        return (long) Math.max(0, emptyAtMillis - nowMillis);
    }

    /** Time until a request of so many bytes may be written; 0 if it may now. */
    public long closedMillis(long count, long nowMillis) {
        return count <= SMALL_BYTES ? 0 : Math.max(0, queuedMillis(nowMillis) - MOST_QUEUED_MILLIS);
    }

    private double millisFor(long count) {
        OptionalLong rate = bytesPerSecond.get();
        return rate.isEmpty() ? 0 : count * MILLIS_PER_SECOND / (rate.getAsLong() * PART_OF_LINK);
    }
}
