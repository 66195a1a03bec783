package org.streamring.direct.backend;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.streamring.net.http.AnswerDecoder;
import org.streamring.net.http.AnswerEndCheck;
import org.streamring.net.http.MergedHeadCheck;
import org.streamring.net.http.SecondAnswerCheck;
import org.streamring.net.process.TcpClient;
import org.streamring.platform.node.ForwardingHeaders;

/** Connection pool of one backend server. Confined to the event loop. */
public final class BackendPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final String DECODER = "decoder";
    private static final int MAX_CHUNK_BYTES = 65_536;
    /** A server that sends without end takes no more than this part of a turn of the event loop. */
    private static final int MAX_READS_PER_TURN = 2;

    private static final long MAX_FRESH_IDLE_MILLIS = 1_500;
    /** A connection that was used a moment ago has most likely not failed together with a silent one. */
    private static final long MAX_REPLACEMENT_IDLE_MILLIS = 300;
    /** A timer that is set by a task of the event loop fires after the event loop has read its connections. */
    private static final long READING_DELAY_MILLIS = 1;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String requestIdHeader;
    private final String signatureHeader;
    private final LongSupplier clock;
    private final LongConsumer onConnecting;
    private final NoticeReader notices;
    private final LimitReader limits;
    private final NoticeListener noticeListener;
    private final AnswerDefectListener defects;
    private final MergedHeadCheck headCheck;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<BackendConnection> open = new HashSet<>();
    private final RecentAnswers answers = new RecentAnswers();
    private final ProcessExitCheck exitCheck;
    private final ProcessExitWatch exitWatch;
    private long lastActivityMillis;
    private long lastDataMillis;

    /**
     * Creates an empty pool.
     *
     * @param headers names of the headers that the platform uses
     * @param clock monotonic clock in milliseconds
     * @param onConnecting receives the milliseconds that each connection attempt took until it succeeded or timed out
     * @param noticeListener receives the notices that the server sends about itself
     * @param defects receives what the server sends that is no part of a sound answer
     */
    public BackendPool(
            EventLoop loop,
            InetSocketAddress address,
            ForwardingHeaders headers,
            LongSupplier clock,
            LongConsumer onConnecting,
            NoticeListener noticeListener,
            AnswerDefectListener defects) {
        this.loop = loop;
        this.address = address;
        this.requestIdHeader = headers.requestId();
        this.signatureHeader = headers.signature();
        this.clock = clock;
        this.onConnecting = onConnecting;
        this.notices = new NoticeReader(headers.leaving());
        this.limits = new LimitReader(headers.limit());
        this.headCheck = new MergedHeadCheck(List.of(headers.requestId(), headers.signature(), headers.notRun()));
        this.noticeListener = noticeListener;
        this.defects = defects;
        this.lastActivityMillis = clock.getAsLong();
        this.lastDataMillis = lastActivityMillis;
        this.exitCheck = new ProcessExitCheck(loop, address, CONNECT_TIMEOUT_MILLIS, this::readConnections);
        this.exitWatch = new ProcessExitWatch(loop, address, CONNECT_TIMEOUT_MILLIS, exitCheck);
    }

    /**
     * Starts an attempt and returns a handle to cancel it.
     *
     * @param mayBeSent checked after a new connection was opened for the request: meanwhile the server may have
     *     announced that it accepts no requests, or the caller may have disconnected
     */
    public BackendAttempt begin(BackendRequest request, BooleanSupplier mayBeSent, AttemptListener listener) {
        BackendAttempt attempt = new BackendAttempt(listener);
        BackendConnection ready =
                takeIdle(request.id(), request.recentlyUsedOnly() ? MAX_FRESH_IDLE_MILLIS : Long.MAX_VALUE);
        if (ready == null) {
            connect(attempt, opened -> send(opened, request, mayBeSent, attempt));
        } else {
            attempt.run(ready, request, clock.getAsLong());
        }
        return attempt;
    }

    /**
     * Starts an attempt in place of a silent one, over a new connection or one that was used just before, and returns a
     * handle to cancel it.
     *
     * @param mayBeSent checked immediately before the request is sent, also over an idle connection; all connections
     *     were read since that connection was ready
     */
    public BackendAttempt beginReplacing(BackendRequest request, BooleanSupplier mayBeSent, AttemptListener listener) {
        BackendAttempt attempt = new BackendAttempt(listener);
        BackendConnection ready = takeIdle(request.id(), MAX_REPLACEMENT_IDLE_MILLIS);
        if (ready == null) {
            connectReplacing(request, mayBeSent, attempt);
        } else {
            afterReading(() -> sendReplacing(ready, request, mayBeSent, attempt));
        }
        return attempt;
    }

    private void connectReplacing(BackendRequest request, BooleanSupplier mayBeSent, BackendAttempt attempt) {
        connect(
                attempt,
                opened -> afterReading(() -> {
                    if (opened.isOpen()) {
                        send(opened, request, mayBeSent, attempt);
                    } else {
                        attempt.endNotSent("the new connection was closed at once");
                    }
                }));
    }

    /** Sends a request over a connection that was idle, or over a new one if it was closed in the meantime. */
    private void sendReplacing(
            BackendConnection idled, BackendRequest request, BooleanSupplier mayBeSent, BackendAttempt attempt) {
        if (!idled.isOpen()) {
            connectReplacing(request, mayBeSent, attempt);
        } else if (mayBeSent.getAsBoolean()) {
            attempt.run(idled, request, clock.getAsLong());
        } else {
            returnIdle(idled);
            attempt.endWithdrawn();
        }
    }

    /** Runs a task after all connections were read once more. */
    private void afterReading(Runnable task) {
        loop.execute(() -> loop.schedule(task, READING_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    /**
     * Checks whether a connection with a pending request, or its server, is unresponsive.
     *
     * <p>Each connection is checked individually. If all connections were checked together, one that receives data
     * would hide one that does not, and a request that could be sent elsewhere after 1 s would wait until its deadline.
     *
     * @param millis time in milliseconds within which a healthy server starts to answer
     */
    Silence checkResponsiveness(BackendConnection connection, long millis) {
        long now = clock.getAsLong();
        boolean serverInactive = now - lastActivityMillis > millis;
        if (serverInactive && (connection.firstRequestUnansweredSince(now - millis) || foundSilent(now, millis))) {
            return Silence.BACKEND;
        }
        boolean quiet = connection.busy() && now - connection.lastReadOrSentMillis() > millis;
        boolean laterRequestAnswered =
                answers.answeredLaterRequest(connection.urgency(), connection.lastReadOrSentMillis());
        return quiet && (laterRequestAnswered || (serverInactive && connection.reused()))
                ? Silence.CONNECTION
                : Silence.NONE;
    }

    /**
     * Whether a connection that was opened for its request shows that the server is silent. It shows that for a while
     * only, as the connection itself may have failed.
     */
    private boolean foundSilent(long nowMillis, long millis) {
        return open.stream()
                .anyMatch(each -> each.firstRequestUnansweredSince(nowMillis - millis)
                        && !each.firstRequestUnansweredSince(nowMillis - 2 * millis));
    }

    /** Returns whether a request waits for the server, and nothing was received from the server, for the given time. */
    public boolean isQuiet(long millis) {
        long since = clock.getAsLong() - millis;
        return lastDataMillis < since && open.stream().anyMatch(each -> each.awaitsDataSince(since));
    }

    /** Checks after a broken attempt whether the process of the server has exited, and passes on the result. */
    public void checkProcessExited(ProcessExitListener listener) {
        exitCheck.run(listener);
    }

    /** Returns the open connections whose end would be noticed: it is not while reading is paused. */
    private Set<BackendConnection> readConnections() {
        return open.stream().filter(each -> !each.isPaused()).collect(Collectors.toUnmodifiableSet());
    }

    /** Watches for the given time whether the process of the server exits, and passes on the result once. */
    public void watchProcessExit(long millis, Consumer<Boolean> then) {
        exitWatch.run(millis, then);
    }

    /** Closes idle connections that were last used at or before the given time, as they may have failed since. */
    public void closeIdleUnusedSince(long millis) {
        idle.removeIf(each -> {
            boolean unusedSince = each.lastUseMillis() <= millis;
            if (unusedSince) {
                each.close();
            }
            return unusedSince;
        });
    }

    /** Closes idle connections whose keep-alive time has passed. */
    public void closeExpiredIdle() {
        long now = clock.getAsLong();
        idle.removeIf(each -> {
            boolean stale = !each.isOpen() || now - each.lastUseMillis() > each.keepAliveMillis();
            if (stale) {
                each.close();
            }
            return stale;
        });
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        idle.forEach(BackendConnection::close);
        idle.clear();
    }

    /** Returns whether no connection is open. */
    public boolean isEmpty() {
        return open.isEmpty();
    }

    /** Returns when something was last received from the server. */
    public long lastDataMillis() {
        return lastDataMillis;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    void recordData() {
        lastActivityMillis = clock.getAsLong();
        lastDataMillis = lastActivityMillis;
    }

    /** Records that the server has started to answer a request. */
    void recordAnswer(int urgency, long sentMillis) {
        answers.add(urgency, sentMillis);
    }

    /**
     * Passes the notices in the head of an answer to the listener.
     *
     * @param sentMillis when the request of the answer was sent; 0 if that is not known
     */
    void reportNotices(HttpResponse response, long sentMillis) {
        int status = response.status().code();
        HttpHeaders headers = response.headers();
        noticeListener.onAnswerHead(status, notices.read(status, headers), limits.read(headers), sentMillis);
    }

    /** Returns the check of the body of one answer. */
    SecondAnswerCheck secondAnswerCheck(String requestId) {
        return new SecondAnswerCheck(requestIdHeader, requestId, signatureHeader);
    }

    MergedHeadCheck headCheck() {
        return headCheck;
    }

    AnswerDefectListener defects() {
        return defects;
    }

    void returnIdle(BackendConnection connection) {
        idle.addFirst(connection);
    }

    void removeClosed(BackendConnection connection) {
        idle.remove(connection);
        open.remove(connection);
    }

    /** Takes the connection that was used last of those on which no request with this identifier was sent. */
    private @Nullable BackendConnection takeIdle(String requestId, long maxIdleMillis) {
        closeExpiredIdle();
        if (requestId.isEmpty()) {
            // Only on a connection of its own can it be told from answers to other requests.
            return null;
        }
        long now = clock.getAsLong();
        Optional<BackendConnection> taken = idle.stream()
                .filter(each -> now - each.lastUseMillis() <= maxIdleMillis)
                .filter(each -> each.admits(requestId))
                .findFirst();
        taken.ifPresent(idle::remove);
        return taken.orElse(null);
    }

    private void connect(BackendAttempt attempt, Consumer<BackendConnection> onOpened) {
        BackendConnection connection = new BackendConnection(this, requestIdHeader);
        long beganMillis = clock.getAsLong();
        ChannelFuture connecting =
                TcpClient.connect(loop, address, CONNECT_TIMEOUT_MILLIS, created -> prepare(created, connection));
        connecting.addListener(done -> {
            if (done.isSuccess() || done.cause() instanceof ConnectTimeoutException) {
                onConnecting.accept(clock.getAsLong() - beganMillis);
            }
            if (!done.isSuccess()) {
                attempt.endNotSent(String.valueOf(done.cause()));
                return;
            }
            connection.opened(connecting.channel());
            open.add(connection);
            lastActivityMillis = clock.getAsLong();
            onOpened.accept(connection);
        });
    }

    private static void prepare(Channel created, BackendConnection connection) {
        AnswerDecoder decoder = new AnswerDecoder(MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        connection.decodedBy(decoder);
        created.config()
                .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS_PER_TURN));
        created.pipeline()
                .addLast(connection.beforeDecoder(), new BackendRequestEncoder())
                .addLast(DECODER, decoder)
                .addLast(connection);
        connection.checkEnds(AnswerEndCheck.around(created, DECODER));
    }

    private void send(
            BackendConnection opened, BackendRequest request, BooleanSupplier mayBeSent, BackendAttempt attempt) {
        if (mayBeSent.getAsBoolean()) {
            attempt.run(opened, request, clock.getAsLong());
        } else {
            opened.close();
            attempt.endWithdrawn();
        }
    }
}
