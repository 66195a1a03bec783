package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpRequest;
import java.nio.channels.ClosedChannelException;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Reports the requests of one connection that got no complete answer, with the cause for which the connection ended.
 * Confined to the event loop.
 */
final class IncompleteAnswerReporter {
    private final String requestIdHeader;
    private final IncompleteAnswer.Listener listener;
    private @Nullable ConnectionEnd end;
    private String endDetail = "";

    /**
     * Creates a reporter.
     *
     * @param requestIdHeader name of the header in which callers identify their requests
     */
    IncompleteAnswerReporter(String requestIdHeader, IncompleteAnswer.Listener listener) {
        this.requestIdHeader = requestIdHeader;
        this.listener = listener;
    }

    /** Records why the connection ends; later causes follow from the first one. */
    void noteEnd(ConnectionEnd reason, String detail) {
        if (end == null) {
            end = reason;
            endDetail = detail;
        }
    }

    /**
     * Records a failed write. Writes also fail because the connection was closed, for which the cause is known or is
     * the caller.
     */
    void noteWriteFailure(Throwable cause) {
        if (!(cause instanceof ClosedChannelException)) {
            noteEnd(ConnectionEnd.WRITE_FAILED, cause.toString());
        }
    }

    /** Returns the identifier that the caller gave; empty if there is none. */
    String idOf(HttpRequest request) {
        return Objects.requireNonNullElse(request.headers().get(requestIdHeader), "");
    }

    void reportNotServed(HttpRequest request, boolean whole) {
        report(idOf(request), whole, false, RequestSink.Progress.NONE, 0, 0);
    }

    /** Reports a request that was being served, after this many writes and bytes of its answer. */
    void reportServed(String id, RequestSink.Progress progress, int writes, long bytes) {
        report(id, true, true, progress, writes, bytes);
    }

    private void report(
            String id, boolean whole, boolean served, RequestSink.Progress progress, int writes, long bytes) {
        ConnectionEnd reason = end == null ? ConnectionEnd.CALLER_CLOSED : end;
        listener.answerIncomplete(new IncompleteAnswer(id, whole, served, progress, writes, bytes, reason, endDetail));
    }
}
