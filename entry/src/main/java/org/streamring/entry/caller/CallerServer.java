package org.streamring.entry.caller;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.ListeningSocket;

/** HTTP server that accepts the connections of callers. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final ListeningSocket listeningSocket;

    /**
     * Starts to listen.
     *
     * @param maxBodyBytes size limit of a body, in bytes
     * @param callTimeout longest time from the start of a call until its last byte is received
     */
    public CallerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            int maxBodyBytes,
            Duration callTimeout,
            CallReceiver receiver)
            throws PeerException {
        listeningSocket = new ListeningSocket(loops, address, accepted -> {
            CallTimeoutHandler timeoutHandler = new CallTimeoutHandler(callTimeout);
            accepted.pipeline()
                    .addLast(
                            timeoutHandler,
                            new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new CallAggregator(maxBodyBytes, timeoutHandler),
                            new CallHandler(receiver, timeoutHandler));
        });
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listeningSocket.port();
    }

    /** Stops accepting connections. */
    public void close() {
        listeningSocket.close();
    }
}
