package org.streamring.net.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.streamring.net.peer.FleetKey.Side;
import org.streamring.net.process.ListeningSocket;

/** Accepts and authenticates connections from other processes of the fleet. */
public final class PeerServer {
    private final ListeningSocket socket;

    /**
     * Binds the address and blocks until the socket is listening. Must not be called on an event loop.
     *
     * @throws PeerException if the address cannot be bound
     */
    public PeerServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            FleetKey fleetKey,
            PeerIdentity ownIdentity,
            PeerListener listener)
            throws PeerException {
        socket = new ListeningSocket(
                loops,
                address,
                accepted -> FrameCodec.install(
                        accepted, new HandshakeHandler(Side.ACCEPTING, fleetKey, ownIdentity, listener)));
    }

    /**
     * Binds the address without blocking; the future completes once the socket is listening.
     *
     * @param fleetKey supplies the key for each new connection
     */
    public static Future<Void> open(
            EventLoopGroup loops,
            InetSocketAddress address,
            Supplier<FleetKey> fleetKey,
            PeerIdentity ownIdentity,
            PeerListener listener) {
        return ListeningSocket.open(
                loops,
                address,
                accepted -> FrameCodec.install(
                        accepted, new HandshakeHandler(Side.ACCEPTING, fleetKey.get(), ownIdentity, listener)));
    }

    /** Returns the local port. */
    public int port() {
        return socket.port();
    }

    /** Closes the listening socket; established connections stay open. */
    public void close() {
        socket.close();
    }
}
