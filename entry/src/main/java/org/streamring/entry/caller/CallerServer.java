package org.streamring.entry.caller;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.Listening;

/** Listens for callers. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final Listening listening;

    /**
     * Starts to listen.
     *
     * @param maxBodyBytes largest body accepted
     */
    public CallerServer(EventLoopGroup loops, InetSocketAddress address, int maxBodyBytes, CallReceiver receiver)
            throws PeerException {
        listening = new Listening(loops, address, accepted -> accepted.pipeline()
                .addLast(
                        new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                        new SlowCallGuard(),
                        new CallAggregator(maxBodyBytes),
                        new CallHandler(receiver)));
    }

    /** Port in use. */
    public int port() {
        return listening.port();
    }

    /** Takes no new connections. */
    public void close() {
        listening.close();
    }
}
