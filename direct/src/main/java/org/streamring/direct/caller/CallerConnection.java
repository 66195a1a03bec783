package org.streamring.direct.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
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
import org.streamring.net.http.Body;
import org.streamring.net.http.BodyWriter;
import org.streamring.net.http.ContinueExpectedEvent;
import org.streamring.net.http.LingeringClose;
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
    private final ReadGate readGate = new ReadGate();
    private final Deque<ArrivedRequest> pipelined = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable Writer writer;
    /** Answers that were handed over whole and are not yet written to the socket. */
    private final Deque<Writer> unflushed = new ArrayDeque<>();

    private final ConnectionActivity activity;
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
        this.activity = new ConnectionActivity(clock, limits);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    ReadGate readGate() {
        return readGate;
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
        long begunMillis = Math.max(arriving.begunMillis(), activity.lastMillis());
        long headerMillis = limits.get().headerTimeout().toMillis();
        return mayRefuseArriving() && arriving.head().isEmpty() && clock.getAsLong() - begunMillis > headerMillis;
    }

    private boolean isIdle() {
        activity.noteWriteProgress(channel());
        boolean waiting = !awaitsAnswer() && (pipelined.isEmpty() || lastAnswerGiven);
        boolean read = !readGate.isClosedBy(ReadGate.Reason.NO_MEMORY);
        return waiting && read && activity.idleSince(arriving.lastReadMillis());
    }

    private boolean awaitsAnswer() {
        return writer != null && writer.remaining == null;
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
        refusal.writeRefusal(UnreadableRequest.NOT_WHOLE);
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
        pipelined.forEach(request -> reporter.reportNotServed(request.head(), true));
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
        activity.note();
        if (!(message instanceof ArrivedRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        continueExpected = false;
        pipelined.addLast(request);
        if (pipelined.size() >= MAX_PIPELINED) {
            readGate.close(reading.channel(), ReadGate.Reason.PIPELINE_FULL);
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
        ArrivedRequest next = pipelined.pollFirst();
        if (next == null) {
            readGate.open(channel(), ReadGate.Reason.PIPELINE_FULL);
            writeInterimAnswer();
            return;
        }
        serve(next);
    }

    private void writeInterimAnswer() {
        if (continueExpected) {
            continueExpected = false;
            channel().writeAndFlush(AnswerMessages.interim());
        }
    }

    private void serve(ArrivedRequest arrived) {
        HttpRequest head = arrived.head();
        Optional<UnreadableRequest> unreadable = UnreadableRequest.of(head);
        Writer created = new Writer(reporter.idOf(head), unreadable.isPresent() || HttpUtil.isKeepAlive(head));
        writer = created;
        if (unreadable.isPresent()) {
            arrived.release();
            arriving.refused();
            created.disableKeepAlive();
            created.writeRefusal(unreadable.get());
            return;
        }
        created.served = arrived;
        long arrivedMillis = clock.getAsLong() - arrived.waitedMillis();
        CallerRequest callerRequest =
                new CallerRequest(head.method(), head.uri(), head.headers(), arrived.body(), arrivedMillis);
        created.request = sink.serve(callerRequest, created);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        Writer current = writer;
        if (current != null && current.remaining != null) {
            current.writeRemaining();
        } else if (current != null && current.request != null) {
            current.request.writabilityChanged(changed.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        reportIncomplete();
        pipelined.forEach(ArrivedRequest::release);
        pipelined.clear();
        Writer current = writer;
        if (current != null && current.request != null) {
            current.request.callerGone();
        }
        if (current != null) {
            current.releaseMemory();
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
        /** The request that is answered, which occupies memory until its answer is made. */
        private @Nullable ArrivedRequest served;
        /** The rest of a large answer; null if the answer is not handed over yet, or was handed over whole. */
        private @Nullable BodyWriter remaining;

        private Runnable afterWriting = () -> {};
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

        private void writeRefusal(UnreadableRequest refused) {
            sink.refused(requestId, refused.status().code(), refused.reason(), refused.text());
            writeFull(refused.status().code(), refused.headers(), refused.body());
        }

        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse response = AnswerMessages.whole(status, headers, body);
            setConnectionHeader(response.headers());
            writes++;
            bytes += body.length;
            finish(response);
        }

        @Override
        public void writeFull(int status, HttpHeaders headers, Body body, Runnable written) {
            afterWriting = written;
            if (body.length() <= BodyWriter.PIECE_BYTES) {
                writeFull(status, headers, body.toByteArray());
                return;
            }
            HttpResponse response = AnswerMessages.head(status, headers, body.length());
            setConnectionHeader(response.headers());
            writes++;
            bytes += body.length();
            releaseRequest();
            channel().write(response);
            remaining = new BodyWriter(channel(), body);
            writeRemaining();
        }

        /** Hands over what the connection takes of a large answer. The next answer may only follow its last piece. */
        private void writeRemaining() {
            BodyWriter pieces = Objects.requireNonNull(remaining);
            if (pieces.writeMore()) {
                remaining = null;
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            HttpResponse response = AnswerMessages.headOfChunks(status, headers);
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
            releaseMemory();
            if (!written.isSuccess()) {
                reporter.noteWriteFailure(written.cause());
                reportIncomplete();
            } else if (!keepAlive) {
                endAfterLastAnswer(callerMaySend);
            }
        }

        private void releaseMemory() {
            releaseRequest();
            Runnable release = afterWriting;
            afterWriting = () -> {};
            release.run();
        }

        private void releaseRequest() {
            if (served != null) {
                served.release();
                served = null;
            }
        }

        private void answerFinished() {
            writer = null;
            releaseRequest();
            activity.answerFinished();
        }
    }
}
