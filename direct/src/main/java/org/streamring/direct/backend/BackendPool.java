package org.streamring.direct.backend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.net.process.TcpClient;
import org.streamring.platform.node.ForwardingHeaders;

/** Connection pool of one backend server. Confined to the event loop. */
public final class BackendPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final long MAX_FRESH_IDLE_MILLIS = 1_500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String requestIdHeader;
    private final LongSupplier clock;
    private final LongConsumer onConnecting;
    private final NoticeReader notices;
    private final LimitReader limits;
    private final NoticeListener noticeListener;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<BackendConnection> open = new HashSet<>();
    private final RecentAnswers answers = new RecentAnswers();
    private final ProcessExitCheck exitCheck;
    private long lastActivityMillis;

    /**
     * Creates an empty pool.
     *
     * @param headers names of the headers that the platform uses
     * @param clock monotonic clock in milliseconds
     * @param onConnecting receives the milliseconds that each connection attempt took until it succeeded or timed out
     * @param noticeListener receives the notices that the server sends about itself
     */
    public BackendPool(
            EventLoop loop,
            InetSocketAddress address,
            ForwardingHeaders headers,
            LongSupplier clock,
            LongConsumer onConnecting,
            NoticeListener noticeListener) {
        this.loop = loop;
        this.address = address;
        this.requestIdHeader = headers.requestId();
        this.clock = clock;
        this.onConnecting = onConnecting;
        this.notices = new NoticeReader(headers.leaving());
        this.limits = new LimitReader(headers.limit());
        this.noticeListener = noticeListener;
        this.lastActivityMillis = clock.getAsLong();
        this.exitCheck = new ProcessExitCheck(loop, address, CONNECT_TIMEOUT_MILLIS, () -> !open.isEmpty());
    }

    /**
     * Starts an attempt and returns a handle to cancel it.
     *
     * @param mayBeSent checked after a new connection was opened for the request: meanwhile the server may have
     *     announced that it accepts no requests, or the caller may have disconnected
     */
    public BackendAttempt begin(BackendRequest request, BooleanSupplier mayBeSent, AttemptListener listener) {
        BackendAttempt attempt = new BackendAttempt(listener);
        BackendConnection ready = takeIdle(request.recentlyUsedOnly());
        if (ready != null) {
            attempt.run(ready, request, clock.getAsLong());
            return attempt;
        }
        connect(request, mayBeSent, attempt);
        return attempt;
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
        if (serverInactive && open.stream().anyMatch(each -> each.firstRequestUnansweredSince(now - millis))) {
            return Silence.BACKEND;
        }
        boolean quiet = connection.busy() && now - connection.lastReadOrSentMillis() > millis;
        boolean laterRequestAnswered =
                answers.answeredLaterRequest(connection.urgency(), connection.lastReadOrSentMillis());
        return quiet && (laterRequestAnswered || (serverInactive && connection.reused()))
                ? Silence.CONNECTION
                : Silence.NONE;
    }

    /** Checks after a broken attempt whether the process of the server has exited, and passes on the result. */
    public void checkProcessExited(Consumer<Boolean> then) {
        exitCheck.run(then);
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

    long nowMillis() {
        return clock.getAsLong();
    }

    void recordActivity() {
        lastActivityMillis = clock.getAsLong();
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

    void returnIdle(BackendConnection connection) {
        idle.addFirst(connection);
    }

    void removeClosed(BackendConnection connection) {
        idle.remove(connection);
        open.remove(connection);
    }

    private @Nullable BackendConnection takeIdle(boolean recentlyUsedOnly) {
        closeExpiredIdle();
        BackendConnection first = idle.peekFirst();
        if (first == null) {
            return null;
        }
        if (recentlyUsedOnly && clock.getAsLong() - first.lastUseMillis() > MAX_FRESH_IDLE_MILLIS) {
            return null;
        }
        return idle.pollFirst();
    }

    private void connect(BackendRequest request, BooleanSupplier mayBeSent, BackendAttempt attempt) {
        BackendConnection connection = new BackendConnection(this, requestIdHeader);
        long beganMillis = clock.getAsLong();
        ChannelFuture connecting =
                TcpClient.connect(loop, address, CONNECT_TIMEOUT_MILLIS, created -> created.pipeline()
                        .addLast(
                                new HttpRequestEncoder(),
                                new HttpResponseDecoder(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES),
                                connection));
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
            recordActivity();
            if (mayBeSent.getAsBoolean()) {
                attempt.run(connection, request, clock.getAsLong());
            } else {
                connection.close();
                attempt.endWithdrawn();
            }
        });
    }
}
