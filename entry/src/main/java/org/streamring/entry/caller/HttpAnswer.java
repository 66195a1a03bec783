package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.Refusal;
import org.streamring.net.generated.Wire.Header;
import org.streamring.net.http.LingeringClose;

/**
 * Writes one answer to a caller's connection. A streamed answer is forwarded as it arrives and ends with an event that
 * contains the outcome. Any other answer is buffered completely, so that its headers can contain the outcome.
 */
final class HttpAnswer implements AnswerSink {
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MAX_PENDING_BYTES = 4L << 20;
    private static final Set<String> HOP_BY_HOP =
            Set.of("connection", "content-length", "transfer-encoding", "keep-alive", "upgrade", "trailer", "te");

    private final Channel channel;
    private final boolean callerMaySend;
    private final String requestId;
    private final Runnable onNextAllowed;
    private final UnwrittenAnswers unwritten;
    private boolean keepAlive;
    private int status;
    private List<Header> headers = List.of();
    private ByteString bufferedBody = ByteString.EMPTY;
    private boolean streaming;
    private boolean done;

    /** Creates an answer behind which the connection is closed, although the caller may send more. */
    static HttpAnswer last(Channel channel, String requestId, UnwrittenAnswers unwritten) {
        return new HttpAnswer(channel, false, true, requestId, () -> {}, unwritten);
    }

    /**
     * Creates an answer.
     *
     * @param keepAlive whether another answer may follow on the connection
     * @param callerMaySend whether the caller may send more, because it did not announce the end of the connection or
     *     its call can't be read to its end
     * @param onNextAllowed called on the event loop once another answer may follow
     */
    HttpAnswer(
            Channel channel,
            boolean keepAlive,
            boolean callerMaySend,
            String requestId,
            Runnable onNextAllowed,
            UnwrittenAnswers unwritten) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.callerMaySend = callerMaySend;
        this.requestId = requestId;
        this.onNextAllowed = onNextAllowed;
        this.unwritten = unwritten;
    }

    /** Ends the connection behind this answer. Takes effect only before the answer begins. */
    synchronized void announceEnd() {
        keepAlive = false;
    }

    /** Returns whether the final answer was given and another one may follow. */
    synchronized boolean allowsNext() {
        return done && keepAlive;
    }

    @Override
    public synchronized void begin(int newStatus, List<Header> newHeaders) {
        if (done) {
            return;
        }
        status = newStatus;
        headers = newHeaders;
        streaming = newStatus == OK && isEventStream(newHeaders);
        if (streaming) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            addHeaders(response.headers());
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            channel.writeAndFlush(response);
        }
    }

    private static boolean isEventStream(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.getName().equalsIgnoreCase("content-type"))
                .anyMatch(header -> header.getValue().startsWith("text/event-stream"));
    }

    private void addHeaders(HttpHeaders target) {
        headers.stream()
                .filter(header -> !HOP_BY_HOP.contains(header.getName().toLowerCase(Locale.ROOT)))
                .forEach(header -> target.add(header.getName(), header.getValue()));
        target.set(CallHeaders.REQUEST_ID, requestId);
    }

    @Override
    public synchronized void chunk(ByteString data) {
        if (done) {
            return;
        }
        if (!streaming) {
            bufferedBody = bufferedBody.concat(data);
            return;
        }
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        if (pending != null && pending.totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            // The caller reads too slowly and its buffer limit is reached. Closing the connection cancels the request.
            channel.close();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer())));
    }

    @Override
    public synchronized void complete() {
        if (done) {
            return;
        }
        done = true;
        if (streaming) {
            endStream(outcomeEvent(Outcome.ANSWERED));
        } else {
            writeFullResponse(status, Outcome.ANSWERED, 0, Unpooled.wrappedBuffer(bufferedBody.asReadOnlyByteBuffer()));
        }
    }

    @Override
    public synchronized void refuse(Refusal refusal) {
        if (done) {
            return;
        }
        done = true;
        long retryAfter = refusal.reason().retryHelps()
                ? Math.max(1, (refusal.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
                : 0;
        String body = ErrorBody.refusal(refusal.reason(), refusal.message(), requestId);
        writeJson(refusal.reason().status(), Outcome.NOT_RUN, retryAfter, body);
    }

    @Override
    public synchronized void fail(Outcome outcome, String message) {
        if (done) {
            return;
        }
        done = true;
        String body = ErrorBody.failure(outcome, message, requestId);
        if (streaming) {
            endStream("data: " + body + "\n\n" + outcomeEvent(outcome));
        } else {
            writeJson(BAD_GATEWAY, outcome, 0, body);
        }
    }

    private String outcomeEvent(Outcome outcome) {
        return "event: streamring.outcome\ndata: " + ErrorBody.outcome(outcome, requestId) + "\n\n";
    }

    private void endStream(String lastEvents) {
        channel.write(new DefaultHttpContent(Unpooled.copiedBuffer(lastEvents, StandardCharsets.UTF_8)));
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void writeJson(int code, Outcome outcome, long retryAfterSeconds, String body) {
        headers = List.of(Header.newBuilder()
                .setName("Content-Type")
                .setValue("application/json")
                .build());
        writeFullResponse(code, outcome, retryAfterSeconds, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    private void writeFullResponse(int code, Outcome outcome, long retryAfterSeconds, ByteBuf body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code), body);
        addHeaders(response.headers());
        response.headers().set(CallHeaders.OUTCOME, outcome.text());
        if (retryAfterSeconds > 0) {
            response.headers().set(CallHeaders.RETRY_AFTER, retryAfterSeconds);
        }
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        finish(response);
    }

    private void finish(Object last) {
        if (keepAlive) {
            unwritten.addUntil(channel.writeAndFlush(last));
            channel.eventLoop().execute(onNextAllowed);
        } else {
            unwritten.addUntil(channel.closeFuture());
            channel.writeAndFlush(last).addListener(written -> endConnection());
        }
    }

    private void endConnection() {
        if (callerMaySend && channel.isActive()) {
            LingeringClose.start(channel);
        } else {
            channel.close();
        }
    }
}
