package org.streamring.direct.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events; an incomplete event is buffered until the rest arrives.
 * Each byte is examined once, however long the event is.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);
    private static final int INITIAL_BYTES = 1_024;
    private static final byte[] NO_BYTES = {};

    private byte[] buffer = NO_BYTES;
    private int size;
    private int lineStart;
    private int linesOfEvent;
    private Optional<String> idOfEvent = Optional.empty();

    /**
     * Complete events that follow each other.
     *
     * @param bytes bytes of the events, including the empty lines that end them
     * @param count number of the events
     * @param lastId identifier of the last event that has one
     */
    @SuppressWarnings("ArrayRecordComponent") // the array is passed on without being copied
    record Events(byte[] bytes, int count, Optional<String> lastId) {}

    /** Adds received bytes; returns the events that are now complete. */
    Events add(byte[] data) {
        int from = size;
        append(data);
        int count = 0;
        int end = 0;
        Optional<String> lastId = Optional.empty();
        for (int i = from; i < size; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            if (linesOfEvent > 0 && isLineEmpty(i)) {
                count++;
                end = i + 1;
                lastId = idOfEvent.isPresent() ? idOfEvent : lastId;
                beginEvent();
            } else {
                endLine(i);
            }
            lineStart = i + 1;
        }
        byte[] complete = end == 0 ? NO_BYTES : Arrays.copyOf(buffer, end);
        removeFirst(end);
        return new Events(complete, count, lastId);
    }

    /** Returns the size in bytes of the event that is not complete yet. */
    int partialBytes() {
        return size;
    }

    /** Whether an incomplete event is buffered. */
    boolean hasPartial() {
        return size > 0;
    }

    private void append(byte[] data) {
        if (data.length > buffer.length - size) {
            int needed = size + data.length;
            buffer = Arrays.copyOf(buffer, Math.max(INITIAL_BYTES, Math.max(needed, 2 * buffer.length)));
        }
        System.arraycopy(data, 0, buffer, size, data.length);
        size += data.length;
    }

    private void removeFirst(int bytes) {
        size -= bytes;
        lineStart -= bytes;
        if (size == 0) {
            buffer = NO_BYTES;
        } else if (bytes > 0) {
            buffer = Arrays.copyOfRange(buffer, bytes, bytes + size);
        }
    }

    private boolean isLineEmpty(int end) {
        return end == lineStart || (end == lineStart + 1 && buffer[lineStart] == '\r');
    }

    private void beginEvent() {
        linesOfEvent = 0;
        idOfEvent = Optional.empty();
    }

    private void endLine(int end) {
        linesOfEvent++;
        int idStart = lineStart + ID_FIELD.length;
        boolean isId = end >= idStart
                && Arrays.equals(buffer, lineStart, idStart, ID_FIELD, 0, ID_FIELD.length)
                && idOfEvent.isEmpty();
        if (isId) {
            idOfEvent = Optional.of(new String(buffer, idStart, end - idStart, StandardCharsets.UTF_8).trim());
        }
    }
}
