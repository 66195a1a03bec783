package org.streamring.direct.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.ListeningSocket;

/** Server socket for callers. Confined to the event loop, except for the constructor. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int CHUNK_BYTES = 65_536;

    private final Set<CallerConnection> connections = new HashSet<>();
    private final Supplier<CallerLimits> limits;
    private final ListeningSocket listeningSocket;

    /** Opens the server socket. */
    public CallerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            RequestSink sink,
            Supplier<CallerLimits> limits,
            LongSupplier clock,
            BooleanSupplier stopping)
            throws PeerException {
        this.limits = limits;
        this.listeningSocket = new ListeningSocket(
                loops, address, accepted -> prepare(accepted, new CallerConnection(sink, clock, stopping)));
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return listeningSocket.port();
    }

    /** Closes connections that were idle for longer than the idle timeout. */
    public void closeIdle() {
        long idleMillis = limits.get().idleTimeout().toMillis();
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(idleMillis));
    }

    /** Closes connections without a request in progress. */
    public void closeConnectionsWithoutRequest() {
        List.copyOf(connections).forEach(CallerConnection::closeIfUnused);
    }

    /** Returns the number of connections with a request in progress. */
    public long connectionsWithRequest() {
        return connections.stream().filter(CallerConnection::busy).count();
    }

    private void prepare(SocketChannel accepted, CallerConnection connection) {
        CallerLimits currentLimits = limits.get();
        accepted.config().setTcpNoDelay(true);
        accepted.pipeline()
                .addLast(
                        new HttpServerCodec(
                                Math.max(MAX_LINE_BYTES, currentLimits.maxHeaderBytes()),
                                currentLimits.maxHeaderBytes(),
                                CHUNK_BYTES),
                        new HttpObjectAggregator(currentLimits.maxBodyBytes()),
                        connection,
                        new Registration(connection));
    }

    private final class Registration extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        private Registration(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connections.add(connection);
            context.channel().closeFuture().addListener(closed -> connections.remove(connection));
        }
    }
}
