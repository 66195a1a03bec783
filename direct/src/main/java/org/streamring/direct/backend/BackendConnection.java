package org.streamring.direct.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.net.http.AnswerDecoder;
import org.streamring.net.http.AnswerEndCheck;
import org.streamring.net.http.Body;
import org.streamring.net.http.BodyWriter;
import org.streamring.net.http.SecondAnswerCheck;

/**
 * A connection to a backend server that carries one request at a time.
 *
 * <p>An answer with an identifier other than that of the request in progress is surplus and skipped. Bytes that
 * belong to no request close the connection, as those that follow would be read as their continuation. Confined to the
 * event loop of the channel.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final int MAX_REASON_CHARS = 160;

    private final BackendPool pool;
    private final String requestIdHeader;
    private @Nullable Channel channel;
    private @Nullable BackendRequest request;
    private @Nullable AttemptListener listener;
    private boolean skipping;
    private boolean headSeen;
    private boolean answerHasLength;
    private boolean reusable;
    private long keepAliveMillis;
    private long lastUseMillis;
    private long startedMillis;
    private long lastReadMillis;
    private boolean paused;
    private boolean draining;
    private boolean strayReceived;
    private @Nullable BodyWriter unwritten;
    private @Nullable AnswerEndCheck ends;
    private @Nullable AnswerDecoder decoder;
    private @Nullable SecondAnswerCheck secondAnswer;
    private final CarriedRequests carried = new CarriedRequests();
    private final AnswerVolume volume = new AnswerVolume();

    BackendConnection(BackendPool pool, String requestIdHeader) {
        this.pool = pool;
        this.requestIdHeader = requestIdHeader;
    }

    /** Sets what tells a proper end of the connection from a failure. */
    void checkEnds(AnswerEndCheck check) {
        ends = check;
    }

    void decodedBy(AnswerDecoder answerDecoder) {
        decoder = answerDecoder;
    }

    void opened(Channel opened) {
        channel = opened;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    long lastUseMillis() {
        return lastUseMillis;
    }

    long keepAliveMillis() {
        return keepAliveMillis;
    }

    /** Whether this request may be sent: none with its identifier was sent before. */
    boolean admits(String id) {
        return carried.admits(id);
    }

    boolean busy() {
        return listener != null;
    }

    /** Whether an answer is awaited and read as it arrives, and nothing has arrived since the given time. */
    boolean awaitsDataSince(long millis) {
        return busy() && !paused && lastReadOrSentMillis() < millis;
    }

    /** Returns {@link Silence#NONE} while reading is paused because the caller reads slowly. */
    Silence checkResponsiveness(long millis) {
        return paused ? Silence.NONE : pool.checkResponsiveness(this, millis);
    }

    /** Returns when data was last received for the request in progress, or when that request was sent. */
    long lastReadOrSentMillis() {
        return Math.max(startedMillis, lastReadMillis);
    }

    /** Returns whether an earlier request was sent on this connection. */
    boolean reused() {
        return carried.count() > 1;
    }

    /** Returns the urgency of the request in progress; 0 is the most urgent. */
    int urgency() {
        return request == null ? 0 : request.urgency();
    }

    /** Returns whether the first request of this connection was sent before the given time and nothing was received. */
    boolean firstRequestUnansweredSince(long millis) {
        return busy() && !reused() && lastReadMillis < startedMillis && startedMillis < millis;
    }

    void send(BackendRequest next, AttemptListener nextListener, long nowMillis) {
        Channel open = Objects.requireNonNull(channel);
        request = next;
        listener = nextListener;
        headSeen = false;
        skipping = false;
        startedMillis = nowMillis;
        carried.add(next.id());
        volume.requestSent();
        Objects.requireNonNull(decoder).requestSent(next.method());
        if (next.body().length <= BodyWriter.PIECE_BYTES) {
            unwritten = null;
            open.writeAndFlush(withHeaders(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, next.method(), next.target(), Unpooled.wrappedBuffer(next.body())),
                    next));
            return;
        }
        open.write(withHeaders(new DefaultHttpRequest(HttpVersion.HTTP_1_1, next.method(), next.target()), next));
        unwritten = new BodyWriter(open, Body.of(next.body()));
        writeMore();
    }

    private static HttpRequest withHeaders(HttpRequest message, BackendRequest next) {
        message.headers().set(next.headers());
        if (next.body().length > 0 || next.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, next.body().length);
        }
        return message;
    }

    private void writeMore() {
        BodyWriter pieces = unwritten;
        if (pieces != null && busy() && pieces.writeMore()) {
            Objects.requireNonNull(channel).writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writeMore();
    }

    private boolean requestWritten() {
        return unwritten == null || unwritten.ended();
    }

    /**
     * Cancels the request by resetting the connection, which discards the bytes in the send buffer of the operating
     * system. A normal close would send them first, which takes seconds if the link of the box is saturated.
     */
    void cancel() {
        listener = null;
        discardUnsentBytes();
        close();
    }

    private void discardUnsentBytes() {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    }

    /**
     * Cancels the request by closing the sending side of the connection. If a part of the request is not written yet,
     * the connection is reset, as the part would be sent first.
     */
    void drain() {
        draining = true;
        pauseReading(false);
        if (channel instanceof DuplexChannel duplex && requestWritten() && hasWrittenAll(duplex)) {
            Objects.requireNonNull(ends).closesOutput();
            duplex.shutdownOutput().addListener(done -> {
                if (!done.isSuccess()) {
                    fail(AttemptFailure.BROKEN, "the sending side of the connection could not be closed");
                }
            });
        } else {
            discardUnsentBytes();
            fail(AttemptFailure.BROKEN, "the request was not written completely");
        }
    }

    private static boolean hasWrittenAll(Channel open) {
        ChannelOutboundBuffer buffer = open.unsafe().outboundBuffer();
        return buffer != null && buffer.isEmpty();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    boolean isPaused() {
        return paused;
    }

    void pauseReading(boolean pause) {
        if (paused && !pause) {
            lastReadMillis = pool.nowMillis();
        }
        paused = pause;
        if (channel != null) {
            channel.config().setAutoRead(!pause);
        }
    }

    /** Returns the handler that has to precede the decoder. */
    ChannelInboundHandler beforeDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (listener == null && message instanceof ByteBuf stray) {
                    reportStray(StrayBytes.Place.IDLE, stray.readableBytes(), "");
                    super.channelRead(context, message);
                    close();
                    return;
                }
                if (!(message instanceof ByteBuf bytes) || volume.admits(bytes.readableBytes())) {
                    super.channelRead(context, message);
                    return;
                }
                ReferenceCountUtil.release(message);
                discardUnsentBytes();
                fail(AttemptFailure.ENDLESS, "more bytes than an answer has");
            }
        };
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            pool.recordData();
            lastReadMillis = pool.nowMillis();
            if (listener == null) {
                reportSurplusAnswer(message);
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Reports the notices in an answer that no request waits for; they still describe the state of the server. */
    private void reportSurplusAnswer(Object message) {
        if (message instanceof HttpResponse response
                && response.decoderResult().isSuccess()
                && response.headers().contains(requestIdHeader)
                && mergedHead(response).isEmpty()) {
            pool.reportNotices(response, 0);
        }
    }

    private Optional<String> mergedHead(HttpResponse response) {
        Optional<String> defect = pool.headCheck().defectOf(response);
        defect.ifPresent(each -> pool.defects().onMergedHead(carried.last(), each));
        return defect;
    }

    private void readHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(
                    AttemptFailure.UNREADABLE,
                    "the head: " + response.decoderResult().cause());
            return;
        }
        Optional<String> merged = mergedHead(response);
        if (merged.isPresent()) {
            fail(AttemptFailure.MERGED, merged.get());
            return;
        }
        if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            fail(AttemptFailure.UNREADABLE, "the head: another protocol is used from here on");
            return;
        }
        if (response.status().code() < 200) {
            skipping = true;
            return;
        }
        Optional<String> id = Optional.ofNullable(response.headers().get(requestIdHeader));
        if (id.isEmpty() && !answersOnlyRequest(response)) {
            fail(AttemptFailure.UNIDENTIFIED, "status " + response.status().code() + " without an identifier");
            return;
        }
        skipping = request != null && id.isPresent() && !id.get().equals(request.id());
        pool.reportNotices(response, skipping ? 0 : startedMillis);
        secondAnswer = pool.secondAnswerCheck(Objects.requireNonNull(request).id());
        if (skipping) {
            reportStray(StrayBytes.Place.BEFORE_ANSWER, 0, id.get());
            return;
        }
        headSeen = true;
        pool.recordAnswer(urgency(), startedMillis);
        reusable = HttpUtil.isKeepAlive(response);
        answerHasLength = Objects.requireNonNull(decoder).answersHead()
                || HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
        keepAliveMillis = KeepAlive.idleMillis(response.headers().get("Keep-Alive"));
        current().onHead(new AnswerHead(response.status().code(), response.headers()));
    }

    /**
     * Whether an answer without an identifier can only be meant for the request in progress: a failure, such as that of
     * a server that can't read the request, on a connection that carried no other request.
     */
    private boolean answersOnlyRequest(HttpResponse response) {
        return !reused() && !strayReceived && response.status().code() >= FIRST_FAILURE_STATUS;
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(
                    AttemptFailure.UNREADABLE,
                    "the body: " + content.decoderResult().cause());
            return;
        }
        if (skipping) {
            skip(content.content());
            return;
        }
        if (!headSeen || listener == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            byte[] data = new byte[bytes.readableBytes()];
            bytes.readBytes(data);
            volume.passedOn(data.length);
            if (Objects.requireNonNull(secondAnswer).add(data)) {
                failMerged("the body contains the head of a second answer");
                return;
            }
            current().onData(data);
        }
        if (content instanceof LastHttpContent end && listener != null) {
            end(end.trailingHeaders());
        }
    }

    /** Skips a part of an answer to another request, which may have broken off before the answer that is awaited. */
    private void skip(ByteBuf bytes) {
        if (listener != null && bytes.isReadable() && secondAnswerIn(bytes)) {
            failMerged("an answer to another request contains the head of the answer");
        }
    }

    private boolean secondAnswerIn(ByteBuf bytes) {
        return secondAnswer != null && secondAnswer.add(ByteBufUtil.getBytes(bytes));
    }

    private void end(HttpHeaders trailers) {
        Optional<String> defect = pool.headCheck().defectOf(trailers);
        if (defect.isPresent()) {
            failMerged("in the trailers: " + defect.get());
        } else if (Objects.requireNonNull(secondAnswer)
                .goesOnIn(Objects.requireNonNull(decoder).undecoded())) {
            failMerged("the body ends inside the head of a second answer");
        } else {
            finish();
        }
    }

    private void failMerged(String detail) {
        pool.defects().onMergedHead(carried.last(), detail);
        fail(AttemptFailure.MERGED, detail);
    }

    private void finish() {
        AttemptListener finished = current();
        int undecoded = Objects.requireNonNull(decoder).undecodedBytes();
        if (undecoded > 0) {
            reportStray(StrayBytes.Place.BEHIND_ANSWER, undecoded, "");
        }
        listener = null;
        request = null;
        lastUseMillis = pool.nowMillis();
        pauseReading(false);
        boolean written = requestWritten();
        unwritten = null;
        if (mayBeUsedAgain() && written) {
            pool.returnIdle(this);
        } else {
            close();
        }
        finished.onEnd();
    }

    private boolean mayBeUsedAgain() {
        return reusable && answerHasLength && !draining && !strayReceived && !carried.isFull();
    }

    private void reportStray(StrayBytes.Place place, long bytes, String answerId) {
        strayReceived = true;
        pool.defects().onStrayBytes(new StrayBytes(place, bytes, carried.last(), answerId));
    }

    private void fail(String reason) {
        fail(AttemptFailure.BROKEN, reason);
    }

    private void fail(AttemptFailure failure, String reason) {
        AttemptListener failed = listener;
        listener = null;
        close();
        if (failed != null) {
            failed.onFailure(failure, shortened(reason));
        }
    }

    /** Shortens a reason that quotes what a server sent. */
    private static String shortened(String reason) {
        return reason.length() <= MAX_REASON_CHARS ? reason : reason.substring(0, MAX_REASON_CHARS) + "…";
    }

    private AttemptListener current() {
        return Objects.requireNonNull(listener);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.toString());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.removeClosed(this);
        if (Objects.requireNonNull(ends).endReceived()) {
            fail(AttemptFailure.CLOSED, "the connection was closed before the answer was complete");
        } else {
            fail("the connection failed before the answer was complete");
        }
    }
}
