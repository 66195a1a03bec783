package org.streamring.direct.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.http.ArrivingRequest;
import org.streamring.net.http.ContinueExpectedEvent;
import org.streamring.net.http.LingeringClose;
import org.streamring.net.http.WriteProgress;
import org.streamring.net.process.ArrivedBytes;

/**
 * Connection of a caller. Serves its requests one at a time, in the order of their arrival.
 *
 * <p>The connection is read while a request is served, so that a disconnect of the caller is detected at once. Confined
 * to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED = 16;

    private final RequestSink sink;
    private final LongSupplier clock;
    private final BooleanSupplier stopping;
    private final Supplier<CallerLimits> limits;
    private final IncompleteAnswerReporter reporter;
    private final ArrivingRequest arriving;
    private final WriteProgress writeProgress = new WriteProgress();
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable Writer writer;
    /** Answers that were handed over whole and are not yet written to the socket. */
    private final Deque<Writer> unflushed = new ArrayDeque<>();

    private long lastActivityMillis;
    private long promisedIdleMillis;
    /** Whether the caller of the arriving request waits for an interim answer. */
    private boolean continueExpected;

    /** Whether an answer was given that announces the end of the connection. */
    private boolean lastAnswerGiven;

    /** Whether the last answer is written and the caller's end of the connection is awaited. */
    private boolean lingering;

    /**
     * Creates the handler of a connection.
     *
     * @param requestIdHeader name of the header in which callers identify their requests
     */
    CallerConnection(
            RequestSink sink,
            LongSupplier clock,
            BooleanSupplier stopping,
            Supplier<CallerLimits> limits,
            String requestIdHeader,
            IncompleteAnswer.Listener incompleteAnswers) {
        this.sink = sink;
        this.clock = clock;
        this.stopping = stopping;
        this.limits = limits;
        this.reporter = new IncompleteAnswerReporter(requestIdHeader, incompleteAnswers);
        this.arriving = new ArrivingRequest(clock);
        this.lastActivityMillis = clock.getAsLong();
        this.promisedIdleMillis = idleTimeoutMillis();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    ArrivingRequest arriving() {
        return arriving;
    }

    /**
     * Closes the connection if it has been idle for longer than the idle timeout. A request that stopped arriving, or
     * whose head takes longer than the header timeout, is refused.
     */
    void closeIfOverdue() {
        if (lingering || !isOverdue() || !isOpenAfterReading() || !isOverdue()) {
            return;
        }
        if (mayRefuseArriving()) {
            refuseArriving();
        } else {
            close(ConnectionEnd.IDLE, "");
        }
    }

    private boolean isOverdue() {
        return isIdle() || isHeadOverdue();
    }

    /** A head that arrives behind another request has its time from the answer to that one on. */
    private boolean isHeadOverdue() {
        long begunMillis = Math.max(arriving.begunMillis(), lastActivityMillis);
        long headerMillis = limits.get().headerTimeout().toMillis();
        return mayRefuseArriving() && arriving.head().isEmpty() && clock.getAsLong() - begunMillis > headerMillis;
    }

    private long idleTimeoutMillis() {
        return limits.get().idleTimeout().toMillis();
    }

    /** A caller relies on the idle timeout that was in force at its last answer; a longer one applies at once. */
    private boolean isIdle() {
        noteWriteProgress();
        long idleMillis = Math.max(promisedIdleMillis, idleTimeoutMillis());
        long lastMillis = Math.max(lastActivityMillis, arriving.lastReadMillis());
        boolean waiting = writer == null && (pipelined.isEmpty() || lastAnswerGiven);
        return waiting && clock.getAsLong() - lastMillis > idleMillis;
    }

    /** Counts it as activity if the caller has read a part of an answer since the last call. */
    private void noteWriteProgress() {
        if (writeProgress.anySinceLastCall(channel())) {
            lastActivityMillis = clock.getAsLong();
        }
    }

    /** Closes the connection if no request is in progress or arriving. */
    void closeIfUnused() {
        if (!lingering && !busy() && isOpenAfterReading() && !busy()) {
            close(ConnectionEnd.STOPPING, "");
        }
    }

    /** Refuses a request of which only a part has arrived, unless another one is in progress. */
    void refuseIfArriving() {
        if (mayRefuseArriving() && isOpenAfterReading() && mayRefuseArriving()) {
            refuseArriving();
        }
    }

    private boolean mayRefuseArriving() {
        return !serving() && arriving.begun() && !lastAnswerGiven;
    }

    private void refuseArriving() {
        Writer refusal = new Writer(arriving.head().map(reporter::idOf).orElse(""), true);
        refusal.disableKeepAlive();
        writer = refusal;
        arriving.refused();
        refusal.writeText(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive whole");
    }

    /** Serves a request that arrived while the event loop was busy, and returns whether the connection is open. */
    private boolean isOpenAfterReading() {
        return ArrivedBytes.isOpenAfterReading(channel());
    }

    /** Answers the request in progress as the process exits, unless its answer has begun. */
    void answerUnfinishedRequest() {
        Writer served = writer;
        if (served != null && served.request != null) {
            served.request.processExits();
        }
    }

    /** Reports the requests that have no complete answer when the process exits. */
    void reportAtExit() {
        reporter.noteEnd(ConnectionEnd.STOP_TIMED_OUT, "");
        unflushed.forEach(Writer::reportIncomplete);
        reportIncomplete();
    }

    private void endAfterLastAnswer(boolean callerMaySend) {
        reporter.noteEnd(ConnectionEnd.LAST_ANSWER, "");
        if (callerMaySend && channel().isActive()) {
            lingering = true;
            LingeringClose.start(channel());
        } else {
            channel().close();
        }
    }

    private void close(ConnectionEnd reason, String detail) {
        reporter.noteEnd(reason, detail);
        channel().close();
    }

    private void reportIncomplete() {
        Writer served = writer;
        if (served != null) {
            served.reportIncomplete();
        }
        pipelined.forEach(request -> reporter.reportNotServed(request, true));
        arriving.head().ifPresent(request -> reporter.reportNotServed(request, false));
    }

    /** Whether a request is arriving or in progress, until its answer is written. */
    boolean busy() {
        return serving() || (arriving.begun() && !lastAnswerGiven);
    }

    /** Whether the connection ends once its caller has read the last answer. */
    boolean ending() {
        return lastAnswerGiven;
    }

    private boolean serving() {
        return writer != null || !unflushed.isEmpty() || (!pipelined.isEmpty() && !lastAnswerGiven);
    }

    private Channel channel() {
        return Objects.requireNonNull(context).channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        lastActivityMillis = clock.getAsLong();
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        continueExpected = false;
        pipelined.addLast(request);
        if (pipelined.size() >= MAX_PIPELINED) {
            reading.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext triggered, Object event) throws Exception {
        continueExpected |= event == ContinueExpectedEvent.INSTANCE;
        super.userEventTriggered(triggered, event);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext complete) {
        serveNext();
    }

    private void serveNext() {
        if (writer != null || lastAnswerGiven) {
            return;
        }
        FullHttpRequest next = pipelined.pollFirst();
        if (next == null) {
            channel().config().setAutoRead(true);
            writeInterimAnswer();
            return;
        }
        try {
            serve(next);
        } finally {
            next.release();
        }
    }

    private void writeInterimAnswer() {
        if (continueExpected) {
            continueExpected = false;
            channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void serve(FullHttpRequest request) {
        Optional<UnreadableRequest> unreadable = UnreadableRequest.of(request);
        Writer created = new Writer(reporter.idOf(request), unreadable.isPresent() || HttpUtil.isKeepAlive(request));
        writer = created;
        if (unreadable.isPresent()) {
            arriving.refused();
            created.disableKeepAlive();
            created.writeText(unreadable.get().status(), unreadable.get().text());
            return;
        }
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        CallerRequest callerRequest =
                new CallerRequest(request.method(), request.uri(), request.headers(), body, clock.getAsLong());
        created.request = sink.serve(callerRequest, created);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        Writer current = writer;
        if (current != null && current.request != null) {
            current.request.writabilityChanged(changed.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        reportIncomplete();
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        Writer current = writer;
        if (current != null && current.request != null) {
            current.request.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        if (!(cause instanceof PrematureChannelClosureException)) {
            reporter.noteEnd(ConnectionEnd.READ_FAILED, cause.toString());
        }
        failed.close();
    }

    private final class Writer implements AnswerWriter {
        private final String requestId;
        private final boolean callerMaySend;
        private RequestSink.@Nullable ActiveRequest request;
        private boolean keepAlive;
        private int writes;
        private long bytes;
        private boolean reported;

        /**
         * Creates the writer of an answer.
         *
         * @param callerMaySend whether the caller may send more, because it did not announce the end of the connection
         *     or its request has not arrived whole
         */
        private Writer(String requestId, boolean callerMaySend) {
            this.requestId = requestId;
            this.callerMaySend = callerMaySend;
            this.keepAlive = callerMaySend;
        }

        private void reportIncomplete() {
            if (reported) {
                return;
            }
            reported = true;
            RequestSink.Progress progress = request == null ? RequestSink.Progress.NONE : request.progress();
            reporter.reportServed(requestId, progress, writes, bytes);
        }

        private void disableKeepAlive() {
            keepAlive = false;
        }

        private void writeText(HttpResponseStatus status, String text) {
            HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
            writeFull(status.code(), headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            setConnectionHeader(response.headers());
            writes++;
            bytes += body.length;
            finish(response);
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setConnectionHeader(response.headers());
            channel().write(response);
        }

        @Override
        public void writeData(byte[] data) {
            writes++;
            bytes += data.length;
            channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
        }

        @Override
        public void end() {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public void abort(String reason) {
            reporter.noteEnd(ConnectionEnd.ABORTED, reason);
            reportIncomplete();
            answerFinished();
            lastAnswerGiven = true;
            closeBehindEarlierAnswers();
        }

        private void closeBehindEarlierAnswers() {
            if (unflushed.isEmpty()) {
                channel().close();
            } else {
                channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public boolean writable() {
            return channel().isWritable();
        }

        @Override
        public boolean callerPresent() {
            return isOpenAfterReading();
        }

        private void setConnectionHeader(HttpHeaders headers) {
            if (stopping.getAsBoolean() && pipelined.isEmpty() && !arriving.begun()) {
                keepAlive = false;
            }
            if (!keepAlive) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(Object last) {
            answerFinished();
            lastAnswerGiven = !keepAlive;
            unflushed.addLast(this);
            channel().writeAndFlush(last).addListener(this::afterLastWrite);
            if (keepAlive) {
                serveNext();
            }
        }

        private void afterLastWrite(Future<?> written) {
            unflushed.remove(this);
            if (!written.isSuccess()) {
                noteWriteFailure(written.cause());
                reportIncomplete();
            } else if (!keepAlive) {
                endAfterLastAnswer(callerMaySend);
            }
        }

        /** A write also fails because the connection was closed, for which the cause is known or is the caller. */
        private void noteWriteFailure(Throwable cause) {
            if (!(cause instanceof ClosedChannelException)) {
                reporter.noteEnd(ConnectionEnd.WRITE_FAILED, cause.toString());
            }
        }

        private void answerFinished() {
            writer = null;
            promisedIdleMillis = idleTimeoutMillis();
            lastActivityMillis = clock.getAsLong();
        }
    }
}
