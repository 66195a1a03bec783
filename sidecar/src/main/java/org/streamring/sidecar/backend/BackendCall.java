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
 * One call to the backend server. Follows what it uses, and cancels it at the reserved limit, so that the reservation
 * is
 * a bound whatever the engine does.
 */
public final class BackendCall implements AsyncHandler<Void> {
    private static final Logger LOGGER = LoggerFactory.getLogger(BackendCall.class);
    private static final int OK = 200;

    private final Submit submit;
    private final BackendSettings settings;
    private final BackendListener listener;
    private final Consumer<String> cancelCall;
    private final EventStreamReader stream;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private volatile boolean cancelled;
    private volatile boolean abort;
    private volatile long abortAtMillis = Long.MAX_VALUE;
    private boolean connected;
    private boolean streaming;
    private boolean ended;
    private int status;
    private @Nullable String problem;

    BackendCall(Submit submit, BackendSettings settings, BackendListener listener, Consumer<String> cancelCall) {
        this.submit = submit;
        this.settings = settings;
        this.listener = listener;
        this.cancelCall = cancelCall;
        this.stream = new EventStreamReader(submit.getShowUsage());
    }

    /** Stops the work; the end is told as usual, with what was used until then. */
    public void cancel() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        if (submit.getModel() && settings.cancelCall()) {
            abortAtMillis = System.currentTimeMillis() + settings.cancelWait().toMillis();
            cancelCall.accept(submit.getAttempt());
        } else if (submit.getModel()) {
            abort = true;
        }
    }

    /** Whether the call has been cancelled and its end is overdue. */
    public boolean overdue(long nowMillis) {
        return nowMillis >= abortAtMillis;
    }

    /** Breaks off a cancelled call whose end does not come. */
    public synchronized void breakOff() {
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
        return next();
    }

    @Override
    public synchronized State onHeadersReceived(HttpHeaders headers) {
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
        return next();
    }

    @Override
    public synchronized State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (streaming) {
            readStream(bytes);
        } else if (whole.size() + bytes.length > settings.maxAnswerBytes()) {
            problem = "the answer is larger than " + settings.maxAnswerBytes() + " bytes";
            abort = true;
        } else {
            whole.writeBytes(bytes);
            listener.chunk(bytes);
        }
        return next();
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

    private State next() {
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
        listener.completed(bounded(finalUsage().orElse(charge())));
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

    private void fail(String why) {
        if (ended) {
            return;
        }
        ended = true;
        listener.failed(bounded(finalUsage().orElse(charge())), why);
    }

    /** Usage as the engine gave it in full: in a whole answer, or at the regular end of a stream. */
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
        return UsageReader.ofAnswer(whole.toByteArray());
    }

    /** Without final usage: the last report and a margin; without any report the whole reservation. */
    private Usage charge() {
        return stream.usage()
                .map(seen -> new Usage(
                        seen.promptTokens(), seen.answerTokens(), seen.tokens() + settings.cancelMarginTokens()))
                .orElse(Usage.flat(submit.getReservedTokens()));
    }

    private Usage bounded(Usage usage) {
        return usage.tokens() <= submit.getReservedTokens()
                ? usage
                : new Usage(usage.promptTokens(), usage.answerTokens(), submit.getReservedTokens());
    }
}
