package org.streamring.net.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import org.streamring.net.peer.FleetKey.Side;
import org.streamring.net.process.Listening;

/** Accepts connections from other processes of the fleet. */
public final class PeerServer {
    private final Listening listening;

    /** Starts to listen. */
    public PeerServer(
            EventLoopGroup loops, InetSocketAddress address, FleetKey fleetKey, PeerIdentity own, PeerListener listener)
            throws PeerException {
        listening = new Listening(
                loops,
                address,
                accepted ->
                        FrameCodec.install(accepted, new HandshakeHandler(Side.ACCEPTING, fleetKey, own, listener)));
    }

    /** Starts to listen without waiting, for callers on an event loop. */
    public static Future<Void> open(
            EventLoopGroup loops,
            InetSocketAddress address,
            FleetKey fleetKey,
            PeerIdentity own,
            PeerListener listener) {
        return Listening.open(
                loops,
                address,
                accepted ->
                        FrameCodec.install(accepted, new HandshakeHandler(Side.ACCEPTING, fleetKey, own, listener)));
    }

    /** Port in use. */
    public int port() {
        return listening.port();
    }

    /** Stops to listen; open connections stay. */
    public void close() {
        listening.close();
    }
}
