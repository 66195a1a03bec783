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

/** Connections to one backend server. Confined to the event loop. */
public final class BackendPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final long FRESH_MILLIS = 1_500;

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
    private final EndCheck endCheck;
    private long heardMillis;

    /**
     * Creates an empty pool.
     *
     * @param headers names of headers
     * @param clock milliseconds of a steady clock
     * @param onConnecting told how long each new connection took, or was waited for in vain, in milliseconds
     * @param noticeListener told what the server says of itself
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
        this.heardMillis = clock.getAsLong();
        this.endCheck = new EndCheck(loop, address, CONNECT_TIMEOUT_MILLIS, () -> !open.isEmpty());
    }

    /**
     * Starts an attempt; the result is for cancelling it.
     *
     * @param mayBeSent asked when a connection is there that was not at once: the server may have said meanwhile that
     *     it takes nothing, or the caller may have left
     */
    public BackendAttempt begin(BackendRequest request, BooleanSupplier mayBeSent, AttemptListener listener) {
        BackendAttempt attempt = new BackendAttempt(listener);
        BackendConnection ready = takeIdle(request.freshOnly());
        if (ready != null) {
            attempt.run(ready, request, clock.getAsLong());
            return attempt;
        }
        connect(request, mayBeSent, attempt);
        return attempt;
    }

    /**
     * Judges a connection on which a request waits.
     *
     * <p>Each connection is judged by itself: where all were judged together, one that spoke hid one that was silent,
     * and a request that could have been sent elsewhere after 1 s waited for its whole time.
     *
     * @param millis a sound server answers within this time, or starts to
     */
    Silence silence(BackendConnection connection, long millis) {
        long now = clock.getAsLong();
        boolean unheard = now - heardMillis > millis;
        if (unheard && open.stream().anyMatch(each -> each.waitsSinceItsOpening(now - millis))) {
            return Silence.BACKEND;
        }
        boolean quiet = connection.busy() && now - connection.quietSinceMillis() > millis;
        boolean overtaken = answers.overtook(connection.urgency(), connection.quietSinceMillis());
        return quiet && (overtaken || (unheard && connection.reused())) ? Silence.CONNECTION : Silence.NONE;
    }

    /** Finds out whether the server's process has ended, after an attempt broke off. */
    public void checkEnded(Consumer<Boolean> then) {
        endCheck.ask(then);
    }

    /** Closes idle connections that were last used by then, as they may have fallen silent since. */
    public void closeIdleUnheardSince(long millis) {
        idle.removeIf(each -> {
            boolean unheard = each.lastUseMillis() <= millis;
            if (unheard) {
                each.close();
            }
            return unheard;
        });
    }

    /** Closes idle connections that have rested too long. */
    public void closeStale() {
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

    /** Whether no connection is open. */
    public boolean isEmpty() {
        return open.isEmpty();
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    void heard() {
        heardMillis = clock.getAsLong();
    }

    /** Notes the first byte of an answer. */
    void answered(int urgency, long sentMillis) {
        answers.add(urgency, sentMillis);
    }

    /** Takes what an answer's head says of the server; its request was sent then, or 0 if that is not known. */
    void noticed(HttpResponse response, long sentMillis) {
        int status = response.status().code();
        HttpHeaders headers = response.headers();
        noticeListener.answered(status, notices.read(status, headers), limits.read(headers), sentMillis);
    }

    void idle(BackendConnection connection) {
        idle.addFirst(connection);
    }

    void closed(BackendConnection connection) {
        idle.remove(connection);
        open.remove(connection);
    }

    private @Nullable BackendConnection takeIdle(boolean freshOnly) {
        closeStale();
        BackendConnection first = idle.peekFirst();
        if (first == null) {
            return null;
        }
        if (freshOnly && clock.getAsLong() - first.lastUseMillis() > FRESH_MILLIS) {
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
                attempt.notSent(String.valueOf(done.cause()));
                return;
            }
            connection.opened(connecting.channel());
            open.add(connection);
            heard();
            if (mayBeSent.getAsBoolean()) {
                attempt.run(connection, request, clock.getAsLong());
            } else {
                connection.close();
                attempt.withdrawn();
            }
        });
    }
}
