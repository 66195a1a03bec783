package org.streamring.entry.caller;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.streamring.model.request.Refusal;
import org.streamring.net.http.ArrivingRequest;
import org.streamring.net.http.BodyAggregator;
import org.streamring.net.http.MergedRequestCheck;
import org.streamring.net.http.RequestCodec;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.ListeningSocket;

/** HTTP server that accepts the connections of callers. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final MergedRequestCheck HEAD_CHECK = new MergedRequestCheck(
            List.of(CallHeaders.IDEMPOTENCY_KEY, CallHeaders.DEADLINE_MILLIS, CallHeaders.NOT_REPEATABLE));

    private final UnwrittenAnswers unwritten = new UnwrittenAnswers();
    /** Open connections, whose handlers are confined to their event loops. */
    private final Map<Channel, CallTimeoutHandler> connections = new ConcurrentHashMap<>();

    private final ListeningSocket listeningSocket;
    private volatile boolean closed;

    /**
     * Starts to listen.
     *
     * @param maxBodyBytes size limit of a body, in bytes
     * @param callTimeout longest time from the start of a call until its last byte is received
     * @param readTimeout longest time for which a caller may read nothing of an answer
     */
    public CallerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            int maxBodyBytes,
            Duration callTimeout,
            Duration readTimeout,
            CallReceiver receiver)
            throws PeerException {
        listeningSocket = new ListeningSocket(loops, address, accepted -> {
            ArrivingRequest arriving = new ArrivingRequest(CallerServer::nowMillis);
            CallTimeoutHandler timeoutHandler = new CallTimeoutHandler(callTimeout, arriving, unwritten);
            register(accepted, timeoutHandler);
            accepted.pipeline()
                    .addLast(
                            new ReadTimeoutHandler(readTimeout),
                            timeoutHandler,
                            arriving.beforeDecoder(),
                            new RequestCodec(arriving, HEAD_CHECK, MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new BodyAggregator(maxBodyBytes),
                            new CallHandler(receiver, timeoutHandler, arriving, () -> closed, unwritten));
        });
    }

    private void register(Channel accepted, CallTimeoutHandler timeoutHandler) {
        connections.put(accepted, timeoutHandler);
        accepted.closeFuture().addListener(closed -> connections.remove(accepted));
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listeningSocket.port();
    }

    /**
     * Returns the number of answers that were given and are not yet written to their sockets. An answer that ends its
     * connection counts until the caller closes the connection as well, or has had time to do so.
     */
    public int unwrittenAnswers() {
        return unwritten.count();
    }

    /** Refuses the calls that have not arrived whole. Must not be called on an event loop. */
    public void refuseArrivingCalls(Refusal refusal) {
        List<Future<?>> done = new ArrayList<>();
        connections.forEach((channel, handler) ->
                done.add(channel.eventLoop().submit(() -> handler.refuseIfArriving(channel, refusal))));
        done.forEach(Future::awaitUninterruptibly);
    }

    /** Stops accepting connections; answers to calls that arrive from now on announce the end of theirs. */
    public void close() {
        closed = true;
        listeningSocket.close();
    }
}
