package org.streamring.sidecar.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.receipt.Usage;
import org.streamring.net.generated.Wire.Header;
import org.streamring.net.generated.Wire.Submit;

/**
 * One call to the backend server. Monitors the reported usage and cancels the call once it exceeds the reservation. The
 * charge is never above the reservation, even if the engine ignores its token limit.
 */
public final class BackendCall implements AsyncHandler<Void> {
    private static final Logger LOGGER = LoggerFactory.getLogger(BackendCall.class);
    private static final int OK = 200;

    private final Submit submit;
    private final BackendSettings settings;
    private final BackendListener listener;
    private final Consumer<String> cancelSender;
    private final EventStreamReader stream;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile boolean cancelled;
    private volatile boolean abort;
    private volatile long abortAtMillis = Long.MAX_VALUE;
    private boolean connected;
    private boolean streaming;
    private boolean ended;
    private int status;
    private @Nullable String problem;

    BackendCall(Submit submit, BackendSettings settings, BackendListener listener, Consumer<String> cancelSender) {
        this.submit = submit;
        this.settings = settings;
        this.listener = listener;
        this.cancelSender = cancelSender;
        this.stream = new EventStreamReader(submit.getShowUsage());
    }

    /**
     * Cancels the call. The listener is notified of its end as usual, with the usage up to then. A call to a plain
     * service is not interrupted.
     */
    public void cancel() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        if (submit.getModel() && settings.cancelCall()) {
            abortAtMillis = System.currentTimeMillis() + settings.cancelWait().toMillis();
            cancelSender.accept(submit.getAttempt());
        } else if (submit.getModel()) {
            abort = true;
        }
    }

    /** Returns whether the call was cancelled and did not end within the cancel wait. */
    public boolean overdue(long nowMillis) {
        return nowMillis >= abortAtMillis;
    }

    /** Aborts a cancelled call that did not end in time. */
    public synchronized void abortOverdue() {
        abort = true;
        fail("cancelled");
    }

    @Override
    public void onTcpConnectSuccess(java.net.InetSocketAddress address, io.netty.channel.Channel connection) {
        connected = true;
    }

    @Override
    public synchronized State onStatusReceived(HttpResponseStatus responseStatus) {
        connected = true;
        status = responseStatus.getStatusCode();
        return nextState();
    }

    @Override
    public synchronized State onHeadersReceived(HttpHeaders headers) {
        Optional<String> otherId = Optional.ofNullable(headers.get(BackendClient.REQUEST_ID))
                .filter(id -> !id.equals(submit.getAttempt()));
        if (otherId.isPresent()) {
            rejectAnswerTo(otherId.get());
            return State.ABORT;
        }
        streaming = submit.getModel()
                && status == OK
                && headers.get("Content-Type", "").startsWith("text/event-stream");
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            forwarded.add(Header.newBuilder()
                    .setName(header.getKey())
                    .setValue(header.getValue())
                    .build());
        }
        listener.begun(status, forwarded);
        return nextState();
    }

    /** The status of an answer to another request says nothing about the usage of this one. */
    private void rejectAnswerTo(String otherId) {
        status = 0;
        abort = true;
        fail("the answer is that to " + otherId);
    }

    @Override
    public synchronized State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (streaming) {
            readStream(bytes);
        } else if (body.size() + bytes.length > settings.maxAnswerBytes()) {
            problem = "the answer is larger than " + settings.maxAnswerBytes() + " bytes";
            abort = true;
        } else {
            body.writeBytes(bytes);
            listener.chunk(bytes);
        }
        return nextState();
    }

    private void readStream(byte[] bytes) {
        try {
            byte[] forwarded = stream.read(bytes);
            if (forwarded.length > 0) {
                listener.chunk(forwarded);
            }
        } catch (EventStreamReader.LineTooLongException e) {
            problem = e.getMessage();
            abort = true;
        }
        boolean overLimit = stream.usage().map(Usage::tokens).orElse(0L) > submit.getReservedTokens();
        if (overLimit) {
            LOGGER.warn("engine_over_limit attempt={}", submit.getAttempt());
            cancel();
        }
    }

    private State nextState() {
        return abort ? State.ABORT : State.CONTINUE;
    }

    @Override
    public synchronized @Nullable Void onCompleted() {
        if (ended) {
            return null;
        }
        boolean broken = abort || (streaming && !stream.done() && !cancelled);
        if (broken) {
            fail(problem == null ? "the stream ended early" : problem);
            return null;
        }
        ended = true;
        listener.completed(capAtReservation(finalUsage().orElse(estimatedUsage())));
        return null;
    }

    @Override
    public synchronized void onThrowable(Throwable cause) {
        if (!ended && !connected) {
            ended = true;
            listener.notForwarded(String.valueOf(cause.getMessage()));
            return;
        }
        fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        LOGGER.warn("answer_broken attempt={} reason={}", submit.getAttempt(), reason);
        listener.failed(capAtReservation(finalUsage().orElse(estimatedUsage())), reason);
    }

    /** Returns the final usage reported at the end of a stream or in an answer that was not streamed. */
    private Optional<Usage> finalUsage() {
        if (!submit.getModel()) {
            return Optional.of(Usage.flat(submit.getCallTokens()));
        }
        if (streaming) {
            return stream.done() ? stream.usage() : Optional.empty();
        }
        if (status != 0 && status != OK) {
            return Optional.of(Usage.NONE);
        }
        return UsageReader.ofAnswer(body.toByteArray());
    }

    /**
     * Returns the usage to charge if the engine sent no final usage: the last reported usage plus a margin, or the
     * whole reservation if no usage was reported.
     */
    private Usage estimatedUsage() {
        return stream.usage()
                .map(lastReport -> new Usage(
                        lastReport.promptTokens(),
                        lastReport.answerTokens(),
                        lastReport.tokens() + settings.cancelMarginTokens()))
                .orElse(Usage.flat(submit.getReservedTokens()));
    }

    private Usage capAtReservation(Usage usage) {
        return usage.tokens() <= submit.getReservedTokens()
                ? usage
                : new Usage(usage.promptTokens(), usage.answerTokens(), submit.getReservedTokens());
    }
}
