package org.streamring.entry.caller;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
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
     * @param wholeCall longest time that a call may take to arrive
     */
    public CallerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            int maxBodyBytes,
            Duration wholeCall,
            CallReceiver receiver)
            throws PeerException {
        listening = new Listening(loops, address, accepted -> {
            SlowCallGuard guard = new SlowCallGuard(wholeCall);
            accepted.pipeline()
                    .addLast(
                            guard,
                            new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new CallAggregator(maxBodyBytes, guard),
                            new CallHandler(receiver, guard));
        });
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
