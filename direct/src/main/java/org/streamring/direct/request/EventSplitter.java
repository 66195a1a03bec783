package org.streamring.direct.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Splits the bytes of an event stream into complete events; an incomplete event is buffered until the rest arrives. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /**
     * A complete event.
     *
     * @param bytes bytes of the event, including the empty line that ends it
     * @param id identifier of the event, if it has one
     */
    @SuppressWarnings("ArrayRecordComponent") // the array is passed on without being copied
    record Event(byte[] bytes, Optional<String> id) {}

    /** Adds received bytes; returns the events that are now complete. */
    List<Event> add(byte[] data) {
        partial.writeBytes(data);
        byte[] all = partial.toByteArray();
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = endOfEvent(all, start);
        while (end > 0) {
            byte[] bytes = Arrays.copyOfRange(all, start, end);
            events.add(new Event(bytes, idOf(bytes)));
            start = end;
            end = endOfEvent(all, start);
        }
        partial.reset();
        partial.write(all, start, all.length - start);
        return events;
    }

    /** Whether an incomplete event is buffered. */
    boolean hasPartial() {
        return partial.size() > 0;
    }

    private static int endOfEvent(byte[] bytes, int start) {
        for (int i = start; i + 1 < bytes.length; i++) {
            if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
                return i + 2;
            }
            boolean crLf = i + 2 < bytes.length && bytes[i + 1] == '\r' && bytes[i + 2] == '\n';
            if (bytes[i] == '\n' && crLf) {
                return i + 3;
            }
        }
        return -1;
    }

    private static Optional<String> idOf(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .findFirst();
    }
}
