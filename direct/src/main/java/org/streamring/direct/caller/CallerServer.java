package org.streamring.direct.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.http.MergedRequestCheck;
import org.streamring.net.http.RequestCodec;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.ListeningSocket;
import org.streamring.platform.node.ForwardingHeaders;

/** Server socket for callers. Confined to the event loop, except for the constructor. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int CHUNK_BYTES = 65_536;

    private final Set<CallerConnection> connections = new HashSet<>();
    private final Supplier<CallerLimits> limits;
    private final LongSupplier clock;
    private final BodyMemory memory;
    private final String requestIdHeader;
    private final MergedRequestCheck headCheck;
    private final ListeningSocket listeningSocket;

    /**
     * Opens the server socket.
     *
     * @param memory memory for the bodies of requests
     * @param headers names of the headers that callers send
     */
    public CallerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            RequestSink sink,
            Supplier<CallerLimits> limits,
            BodyMemory memory,
            LongSupplier clock,
            BooleanSupplier stopping,
            ForwardingHeaders headers,
            IncompleteAnswer.Listener incompleteAnswers)
            throws PeerException {
        this.limits = limits;
        this.clock = clock;
        this.memory = memory;
        this.requestIdHeader = headers.requestId();
        this.headCheck = new MergedRequestCheck(headers.singleInRequests());
        this.listeningSocket = new ListeningSocket(
                loops,
                address,
                accepted -> prepare(
                        accepted,
                        new CallerConnection(sink, clock, stopping, limits, requestIdHeader, incompleteAnswers)));
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return listeningSocket.port();
    }

    /**
     * Closes connections that were idle for longer than the idle timeout, and refuses requests that arrive too slowly.
     */
    public void closeOverdue() {
        List.copyOf(connections).forEach(CallerConnection::closeIfOverdue);
    }

    /** Closes connections on which no request is in progress or arriving. */
    public void closeConnectionsWithoutRequest() {
        List.copyOf(connections).forEach(CallerConnection::closeIfUnused);
    }

    /** Refuses the requests that have not arrived whole, and closes connections without a request in progress. */
    public void refuseArrivingRequests() {
        List.copyOf(connections).forEach(CallerConnection::refuseIfArriving);
        closeConnectionsWithoutRequest();
    }

    /** Answers the requests in progress whose answers have not begun, as the process exits. */
    public void answerUnfinishedRequests() {
        List.copyOf(connections).forEach(CallerConnection::answerUnfinishedRequest);
    }

    /** Reports the requests that have no complete answer when the process exits. */
    public void reportAtExit() {
        List.copyOf(connections).forEach(CallerConnection::reportAtExit);
    }

    /** Returns the number of connections on which a request is in progress or arriving. */
    public long connectionsWithRequest() {
        return connections.stream().filter(CallerConnection::busy).count();
    }

    /** Returns the number of open connections whose callers may not have read the last answer. */
    public long endingConnections() {
        return connections.stream().filter(CallerConnection::ending).count();
    }

    private void prepare(SocketChannel accepted, CallerConnection connection) {
        // The codec has state that can't be handed over, so the limit on heads is that at the begin of the connection.
        int maxHeaderBytes = limits.get().maxHeaderBytes();
        RequestBodyReader bodies = new RequestBodyReader(limits, memory, connection.readGate(), requestIdHeader, clock);
        accepted.config().setTcpNoDelay(true);
        accepted.pipeline()
                .addLast(
                        connection.arriving().beforeDecoder(),
                        new RequestCodec(
                                connection.arriving(),
                                headCheck,
                                Math.max(MAX_LINE_BYTES, maxHeaderBytes),
                                maxHeaderBytes,
                                CHUNK_BYTES),
                        bodies,
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
