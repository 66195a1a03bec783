package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.generated.Wire.Header;
import org.streamring.net.http.ArrivingRequest;
import org.streamring.net.http.ContinueExpectedEvent;
import org.streamring.net.http.MergedRequestException;
import org.streamring.net.http.UnsupportedExpectationException;
import org.streamring.net.process.ArrivedBytes;

/** Converts the HTTP requests of one connection into calls, one at a time, in the order of their arrival. */
final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_PIPELINED = 16;
    private static final Logger LOGGER = LoggerFactory.getLogger(CallHandler.class);
    private static final Pattern VALID_IDEMPOTENCY_KEY = Pattern.compile("[A-Za-z0-9._:~-]{1,128}");
    private static final Set<String> NOT_FORWARDED = Set.of(
            "host",
            "connection",
            "content-length",
            "transfer-encoding",
            "keep-alive",
            "upgrade",
            "te",
            "expect",
            "accept-encoding",
            "authorization",
            "streamring-deadline-ms",
            "streamring-not-repeatable");

    private final CallReceiver receiver;
    private final CallTimeoutHandler timeoutHandler;
    private final ArrivingRequest arriving;
    private final BooleanSupplier stopping;
    private final UnwrittenAnswers unwritten;
    private Runnable onCallerGone = CallHandler::noOp;
    private final Deque<FullHttpRequest> pending = new ArrayDeque<>();
    private @Nullable HttpAnswer current;
    /** Whether the caller of the arriving request waits for an interim answer. */
    private boolean continueExpected;

    /**
     * Creates a handler for one connection.
     *
     * @param arriving tells whether a part of another call has arrived
     * @param stopping whether the last answers are to announce the end of their connections
     */
    CallHandler(
            CallReceiver receiver,
            CallTimeoutHandler timeoutHandler,
            ArrivingRequest arriving,
            BooleanSupplier stopping,
            UnwrittenAnswers unwritten) {
        this.receiver = receiver;
        this.timeoutHandler = timeoutHandler;
        this.arriving = arriving;
        this.stopping = stopping;
        this.unwritten = unwritten;
        timeoutHandler.setAnswerInProgress(this::isAnswerInProgress);
    }

    private boolean isAnswerInProgress() {
        HttpAnswer latest = current;
        return latest != null && !latest.allowsNext();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        timeoutHandler.stopTimer();
        continueExpected = false;
        pending.addLast(request.retain());
        if (pending.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        continueExpected |= event == ContinueExpectedEvent.INSTANCE;
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        serveNext(context);
    }

    private void serveNext(ChannelHandlerContext context) {
        if (isAnswerInProgress()) {
            return;
        }
        FullHttpRequest request = pending.pollFirst();
        if (request == null) {
            context.channel().config().setAutoRead(true);
            writeInterimAnswer(context);
            return;
        }
        try {
            serve(context, request);
        } finally {
            request.release();
        }
    }

    private void writeInterimAnswer(ChannelHandlerContext context) {
        if (continueExpected) {
            continueExpected = false;
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest request) {
        String requestId = UUID.randomUUID().toString();
        boolean readable = request.decoderResult().isSuccess();
        boolean announcesEnd = !HttpUtil.isKeepAlive(request);
        HttpAnswer answer = new HttpAnswer(
                context.channel(),
                readable && !announcesEnd,
                !readable || !announcesEnd,
                requestId,
                () -> serveNext(context),
                unwritten);
        current = answer;
        if (!ArrivedBytes.isOpenAfterReading(context.channel())) {
            LOGGER.debug("caller_left_before_its_call_was_received");
            return;
        }
        if (!readable) {
            Refusal refusal = refusalOf(request.decoderResult().cause());
            LOGGER.info(
                    "request_refused request={} reason={} detail={}", requestId, refusal.reason(), refusal.message());
            answer.refuse(refusal);
            return;
        }
        if (stopping.getAsBoolean() && pending.isEmpty() && !arriving.begun()) {
            answer.announceEnd();
        }
        try {
            Call call = toCall(request);
            onCallerGone = receiver.receive(requestId, call, answer);
        } catch (RefusedException e) {
            answer.refuse(e.refusal());
        }
    }

    private static Refusal refusalOf(@Nullable Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            return Refusal.of(RefusalReason.TOO_LARGE, cause.getMessage());
        }
        if (cause instanceof UnsupportedExpectationException) {
            return Refusal.of(RefusalReason.UNSUPPORTED_EXPECTATION, cause.getMessage());
        }
        if (cause instanceof TooLongFrameException) {
            return Refusal.of(RefusalReason.HEADERS_TOO_LARGE, "the request line or headers are too large");
        }
        if (cause instanceof MergedRequestException) {
            return Refusal.of(RefusalReason.BAD_REQUEST, cause.getMessage());
        }
        return Refusal.of(RefusalReason.BAD_REQUEST, "the request is not valid HTTP");
    }

    private static Call toCall(FullHttpRequest request) throws RefusedException {
        HttpHeaders headers = request.headers();
        Optional<String> key = Optional.ofNullable(headers.get(CallHeaders.IDEMPOTENCY_KEY));
        if (key.isPresent() && !VALID_IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
            throw badRequest(
                    CallHeaders.IDEMPOTENCY_KEY + " must be 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':', '~' and '-'");
        }
        return new Call(
                request.method().name(),
                request.uri(),
                forwarded(headers),
                ByteString.copyFrom(request.content().nioBuffer()),
                accountKey(headers),
                key,
                Boolean.parseBoolean(headers.get(CallHeaders.NOT_REPEATABLE)),
                deadline(headers));
    }

    private static String accountKey(HttpHeaders headers) {
        String authorization = headers.get(CallHeaders.AUTHORIZATION, "");
        return authorization.startsWith(CallHeaders.BEARER)
                ? authorization.substring(CallHeaders.BEARER.length()).trim()
                : "";
    }

    private static Optional<Duration> deadline(HttpHeaders headers) throws RefusedException {
        String text = headers.get(CallHeaders.DEADLINE_MILLIS);
        if (text == null) {
            return Optional.empty();
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0) {
                return Optional.of(Duration.ofMillis(millis));
            }
        } catch (NumberFormatException e) {
            LOGGER.trace("deadline header is not a number", e);
        }
        throw badRequest(CallHeaders.DEADLINE_MILLIS + " must be a whole number of milliseconds above 0");
    }

    private static List<Header> forwarded(HttpHeaders headers) {
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                forwarded.add(Header.newBuilder()
                        .setName(header.getKey())
                        .setValue(header.getValue())
                        .build());
            }
        }
        return forwarded;
    }

    private static RefusedException badRequest(String message) {
        return new RefusedException(Refusal.of(RefusalReason.BAD_REQUEST, message));
    }

    private static void noOp() {}

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pending.forEach(FullHttpRequest::release);
        pending.clear();
        onCallerGone.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("caller_channel_failed", cause);
        context.close();
    }
}
