package org.streamring.direct.request;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.caller.AnswerWriter;

/**
 * Passes the answer on: whole answers when they are complete, streams event by event.
 *
 * <p>A stream begins with its first event and keeps the head of its first replica; a part of an event that a replica
 * left behind is dropped. Confined to the event loop.
 */
final class AnswerRelay {
    private final boolean stream;
    private final HeaderFilter filter;
    private final AnswerWriter writer;
    private Optional<String> lastEventId;
    private EventSplitter splitter = new EventSplitter();
    private @Nullable AnswerHead head;
    private boolean begun;
    private @Nullable BufferedAnswer whole;
    private final StreamTiming timing;

    AnswerRelay(
            boolean stream,
            HeaderFilter filter,
            AnswerWriter writer,
            Optional<String> lastEventId,
            StreamTiming timing) {
        this.timing = timing;
        this.stream = stream;
        this.filter = filter;
        this.writer = writer;
        this.lastEventId = lastEventId;
    }

    /** Last event that the caller has. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Whether a part of the answer was sent. */
    boolean begun() {
        return begun;
    }

    /** Whether the answer with this head is to be streamed. */
    boolean streams(AnswerHead candidate) {
        String type = candidate.headers().get("content-type");
        return stream && candidate.status() == 200 && type != null && type.startsWith("text/event-stream");
    }

    /** A replica begins to answer. */
    void newStream(AnswerHead candidate) {
        splitter = new EventSplitter();
        if (head == null || !begun) {
            head = candidate;
        }
    }

    /** Passes whole events on; returns how many. */
    int streamData(byte[] data) {
        List<EventSplitter.Event> events = splitter.add(data);
        for (EventSplitter.Event event : events) {
            beginOnce();
            event.id().ifPresent(id -> lastEventId = Optional.of(id));
            writer.data(event.bytes());
            timing.event();
        }
        return events.size();
    }

    /** Whether a replica's stream ended between two events. */
    boolean endsBetweenEvents() {
        return !splitter.hasPartial();
    }

    /** Keeps a whole answer until the end. */
    void whole(BufferedAnswer answer) {
        whole = answer;
    }

    /** Ends the answer as complete. */
    void end() {
        BufferedAnswer buffered = whole;
        if (buffered != null && !begun) {
            writer.whole(
                    buffered.head().status(), filter.forCaller(buffered.head().headers()), buffered.body());
            return;
        }
        beginOnce();
        writer.end();
    }

    private void beginOnce() {
        if (!begun && head != null) {
            begun = true;
            writer.begin(head.status(), filter.forCaller(head.headers()));
        }
    }
}
