package org.streamring.direct.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Cuts the bytes of an event stream into whole events; a part of an event is kept until the rest comes. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /**
     * A whole event.
     *
     * @param bytes the event with the empty line that ends it
     * @param id its identifier, if it has one
     */
    @SuppressWarnings("ArrayRecordComponent") // bytes are handed on, not copied
    record Event(byte[] bytes, Optional<String> id) {}

    /** Takes bytes; returns the events that are whole now. */
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

    /** Whether a part of an event waits for its rest. */
    boolean hasPartial() {
        return partial.size() > 0;
    }

    private static int endOfEvent(byte[] bytes, int start) {
        for (int i = start; i + 1 < bytes.length; i++) {
            if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
                return i + 2;
            }
            boolean carriage = i + 2 < bytes.length && bytes[i + 1] == '\r' && bytes[i + 2] == '\n';
            if (bytes[i] == '\n' && carriage) {
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
