package org.streamring.kernel.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Estimates from the link rate how long written bytes wait in the queue of the link of this box, and limits the
 * requests that are added to it. Confined to one thread.
 *
 * <p>It is designed for uneven load: the load balancer assigns callers to entries by a hash, so the callers of a busy
 * account can exceed the link capacity of one entry. Written bytes then wait in the queue of the link for seconds and
 * cannot be withdrawn: requests arrive after their callers have disconnected, and so do their cancellations.
 */
public final class LinkBacklog {
    /** Half of the time within which a disconnect of a caller must reach a server. */
    public static final long MAX_QUEUED_MILLIS = 250;

    /** Size of one packet; delaying requests up to this size would not shorten the queue. */
    static final long PACKET_BYTES = 1_460;

    /** The rest is left for packet headers, store traffic, and frames to other entries except load reports. */
    private static final double LINK_FRACTION = 0.9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Supplier<OptionalLong> bytesPerSecond;
    private final Map<Traffic, Long> bytes = new EnumMap<>(Traffic.class);
    private double emptyAtMillis;

    /** Kinds of traffic on the link. */
    public enum Traffic {
        /** Requests to backend servers. */
        REQUESTS,
        /** Answers of backend servers that are forwarded to callers. */
        ANSWERS,
        /** Load reports to other entries. */
        REPORTS
    }

    /**
     * Creates an instance with an empty queue.
     *
     * @param bytesPerSecond supplies the link rate; empty if it is unknown, in which case no request is delayed
     */
    public LinkBacklog(Supplier<OptionalLong> bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Records bytes that are written to the link. */
    public void addBytes(Traffic traffic, long count, long nowMillis) {
        bytes.merge(traffic, count, Long::sum);
        emptyAtMillis = Math.max(emptyAtMillis, (double) nowMillis) + transmissionMillis(count);
    }

    /** Subtracts bytes that were recorded with {@link #addBytes} but are not written after all. */
    public void subtractBytes(Traffic traffic, long count) {
        bytes.merge(traffic, -count, Long::sum);
        emptyAtMillis -= transmissionMillis(count);
    }

    /** Returns the total number of bytes written so far. */
    public long bytes(Traffic traffic) {
        return bytes.getOrDefault(traffic, 0L);
    }

    /** Returns the time in milliseconds that bytes written now wait in the queue of the link. */
    public long queuedMillis(long nowMillis) {
        return (long) Math.max(0, emptyAtMillis - nowMillis);
    }

    /**
     * Returns the time in milliseconds until a request of the given size may be written; 0 if it may be written now.
     */
    public long delayMillis(long count, long nowMillis) {
        return count <= PACKET_BYTES ? 0 : Math.max(0, queuedMillis(nowMillis) - MAX_QUEUED_MILLIS);
    }

    private double transmissionMillis(long count) {
        OptionalLong rate = bytesPerSecond.get();
        return rate.isEmpty() ? 0 : count * MILLIS_PER_SECOND / (rate.getAsLong() * LINK_FRACTION);
    }
}
