package org.streamring.kernel.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Origins of the streams that this entry began, and of those that other entries told it about. Each is kept for as long
 * as its caller may resume the stream. If the table is full, the oldest one is dropped. Confined to one thread.
 */
public final class StreamOriginTable {
    /** Bounds the memory of an entry that records the streams of many others. */
    public static final int DEFAULT_CAPACITY = 20_000;

    /** Callers choose the identifiers. */
    static final int MAX_IDENTIFIER_LENGTH = 200;

    private final int capacity;
    private final Map<String, RecordedOrigin> origins = new LinkedHashMap<>();
    private long dropped;

    /**
     * A recorded origin.
     *
     * @param recordedMillis time at which the stream began, or at which this entry learned of it
     * @param expiresMillis time until which the caller may resume the stream
     */
    public record RecordedOrigin(StreamOrigin origin, long recordedMillis, long expiresMillis) {}

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of origins
     */
    public StreamOriginTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Records the origin of a stream. The first one that is recorded for a stream remains in effect.
     *
     * @param stream identifier of the request that brought the first event; a stream whose identifier is empty or too
     *     long is not recorded
     * @param lifeMillis time for which the caller may resume the stream
     * @return whether the stream has a recorded origin now
     */
    public boolean record(String stream, StreamOrigin origin, long lifeMillis, long nowMillis) {
        if (stream.isEmpty() || stream.length() > MAX_IDENTIFIER_LENGTH) {
            return false;
        }
        if (origins.size() >= capacity && !origins.containsKey(stream)) {
            dropOldest();
        }
        origins.putIfAbsent(stream, new RecordedOrigin(origin, nowMillis, nowMillis + lifeMillis));
        return true;
    }

    private void dropOldest() {
        Iterator<String> oldest = origins.keySet().iterator();
        oldest.next();
        oldest.remove();
        dropped++;
    }

    /** Returns the origin of a stream; empty if it is not known or has expired. */
    public Optional<RecordedOrigin> find(String stream, long nowMillis) {
        return Optional.ofNullable(origins.get(stream)).filter(each -> nowMillis < each.expiresMillis());
    }

    /** Removes the origins that have expired. */
    public void expire(long nowMillis) {
        origins.values().removeIf(each -> each.expiresMillis() <= nowMillis);
    }

    /** Returns the number of streams that a software version of a service began. */
    public int count(String service, String softwareVersion) {
        return (int) origins.values().stream()
                .map(RecordedOrigin::origin)
                .filter(origin -> origin.service().equals(service))
                .filter(origin -> origin.softwareVersion().equals(softwareVersion))
                .count();
    }

    /** Returns the number of origins. */
    public int size() {
        return origins.size();
    }

    /** Returns the number of origins that were dropped because the table was full. */
    public long dropped() {
        return dropped;
    }
}
