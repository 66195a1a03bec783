package org.streamring.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;

/**
 * Passes the answer of one attempt on to the caller. A server error is held back until the attempt has ended, so that
 * another backend server may be tried instead. Guarded by its {@link RunningRequest}.
 */
final class AnswerDelivery {
    private static final int SERVER_ERROR = 500;

    private final AnswerSink sink;
    private final List<Chunk> heldBack = new ArrayList<>();
    private Optional<Begin> heldBackBegin = Optional.empty();
    private boolean passedOn;

    AnswerDelivery(AnswerSink sink) {
        this.sink = sink;
    }

    /** Whether the caller has not seen any part of an answer. */
    boolean nothingPassedOn() {
        return !passedOn;
    }

    /** Whether the backend server answered with an error of its own. */
    boolean holdsServerError() {
        return heldBackBegin.isPresent();
    }

    void begin(Begin begin) {
        if (begin.getStatus() >= SERVER_ERROR) {
            heldBackBegin = Optional.of(begin);
            return;
        }
        passOn(begin);
    }

    private void passOn(Begin begin) {
        passedOn = true;
        sink.begin(begin.getStatus(), begin.getHeadersList());
    }

    void chunk(Chunk chunk) {
        if (heldBackBegin.isPresent()) {
            heldBack.add(chunk);
        } else {
            sink.chunk(chunk.getData());
        }
    }

    /** Gives the caller what was held back, as no other try follows. */
    void release() {
        heldBackBegin.ifPresent(this::passOn);
        heldBack.forEach(chunk -> sink.chunk(chunk.getData()));
        drop();
    }

    /** Forgets what was held back, as another try follows. */
    void drop() {
        heldBackBegin = Optional.empty();
        heldBack.clear();
    }
}
