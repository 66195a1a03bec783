package org.streamring.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;

/**
 * Forwards the answer of one attempt to the caller. A server error is held back until the attempt has ended, so that
 * another backend server can be tried instead. Guarded by the lock of its {@link RunningRequest}.
 */
final class AnswerDelivery {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final AnswerSink sink;
    private final List<Chunk> heldBackChunks = new ArrayList<>();
    private Optional<Begin> heldBackBegin = Optional.empty();
    private boolean forwarded;

    AnswerDelivery(AnswerSink sink) {
        this.sink = sink;
    }

    /** Returns whether no part of an answer was forwarded to the caller. */
    boolean nothingForwarded() {
        return !forwarded;
    }

    /** Returns whether the backend server answered with a server error, which is held back. */
    boolean hasServerError() {
        return heldBackBegin.isPresent();
    }

    void begin(Begin begin) {
        if (begin.getStatus() >= MIN_SERVER_ERROR_STATUS) {
            heldBackBegin = Optional.of(begin);
            return;
        }
        forward(begin);
    }

    private void forward(Begin begin) {
        forwarded = true;
        sink.begin(begin.getStatus(), begin.getHeadersList());
    }

    void chunk(Chunk chunk) {
        if (heldBackBegin.isPresent()) {
            heldBackChunks.add(chunk);
        } else {
            sink.chunk(chunk.getData());
        }
    }

    /** Forwards what was held back, because no retry follows. */
    void release() {
        heldBackBegin.ifPresent(this::forward);
        heldBackChunks.forEach(chunk -> sink.chunk(chunk.getData()));
        discard();
    }

    /** Discards what was held back, because a retry follows. */
    void discard() {
        heldBackBegin = Optional.empty();
        heldBackChunks.clear();
    }
}
