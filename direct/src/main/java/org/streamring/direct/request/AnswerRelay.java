package org.streamring.direct.request;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.caller.AnswerWriter;

/**
 * Passes an answer on to the caller: non-streamed answers when they are complete, streams event by event.
 *
 * <p>The head of a stream is sent with its first event. If another replica continues the stream, the head of the first
 * replica remains in effect and an incomplete event of that replica is dropped. Confined to the event loop.
 */
final class AnswerRelay {
    private final boolean stream;
    private final HeaderFilter filter;
    private final AnswerWriter writer;
    private final Runnable beforeStart;
    private Optional<String> lastEventId;
    private EventSplitter splitter = new EventSplitter();
    private @Nullable AnswerHead head;
    private boolean started;
    private @Nullable BufferedAnswer bufferedAnswer;
    private final StreamTiming timing;

    /**
     * Creates a relay that has passed on nothing yet.
     *
     * @param beforeStart called once, before the first event of a stream is passed on
     * @param lastEventId identifier of the last event that the caller has received from earlier requests
     */
    AnswerRelay(
            boolean stream,
            HeaderFilter filter,
            AnswerWriter writer,
            Runnable beforeStart,
            Optional<String> lastEventId,
            StreamTiming timing) {
        this.timing = timing;
        this.stream = stream;
        this.filter = filter;
        this.writer = writer;
        this.beforeStart = beforeStart;
        this.lastEventId = lastEventId;
    }

    /** Returns the identifier of the last event that the caller received. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Whether a part of the answer was already sent to the caller. */
    boolean started() {
        return started;
    }

    /** Whether an answer with this head is passed on as a stream. */
    boolean isStreamed(AnswerHead candidate) {
        String type = candidate.headers().get("content-type");
        return stream && candidate.status() == 200 && type != null && type.startsWith("text/event-stream");
    }

    /** Called when a replica starts a streamed answer. */
    void streamStarted(AnswerHead candidate) {
        splitter = new EventSplitter();
        if (head == null || !started) {
            head = candidate;
        }
    }

    /** Passes the events that are complete on to the caller; returns their number. */
    int streamData(byte[] data) {
        EventSplitter.Events events = splitter.add(data);
        if (events.count() > 0) {
            sendHeadOnce();
            events.lastId().ifPresent(id -> lastEventId = Optional.of(id));
            writer.writeData(events.bytes());
            timing.recordEvent();
        }
        return events.count();
    }

    /** Returns the number of events that are complete with this data, which is not passed on. */
    int skipData(byte[] data) {
        return splitter.add(data).count();
    }

    /** Returns the size in bytes of the event that has not arrived whole. */
    int partialBytes() {
        return splitter.partialBytes();
    }

    /** Whether the stream received so far ends at an event boundary. */
    boolean endsBetweenEvents() {
        return !splitter.hasPartial();
    }

    /** Buffers a complete answer until {@link #end}. */
    void buffer(BufferedAnswer answer) {
        bufferedAnswer = answer;
    }

    /** Completes the answer to the caller. */
    void end() {
        BufferedAnswer buffered = bufferedAnswer;
        if (buffered != null && !started) {
            writer.writeFull(
                    buffered.head().status(),
                    filter.forCaller(buffered.head().headers()),
                    buffered.body(),
                    buffered.release());
            return;
        }
        sendHeadOnce();
        writer.end();
    }

    private void sendHeadOnce() {
        if (!started && head != null) {
            started = true;
            beforeStart.run();
            writer.writeHead(head.status(), filter.forCaller(head.headers()));
        }
    }
}
