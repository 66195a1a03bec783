package org.streamring.net.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.FleetKey.Side;
import org.streamring.net.process.TcpClient;

/** Keeps one connection to a process of the fleet, connecting again with growing, jittered pauses. */
public final class PeerConnector {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long LONGEST_PAUSE_MILLIS = 3_000;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final Consumer<Channel> handlers;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private volatile boolean stopped;
    private volatile @Nullable Channel channel;

    /** Prepares a connection; {@link #start} makes it. */
    public PeerConnector(
            EventLoopGroup loops,
            InetSocketAddress address,
            FleetKey fleetKey,
            PeerIdentity own,
            PeerListener listener) {
        this.loops = loops;
        this.address = address;
        PeerListener watched = new PauseReset(listener);
        this.handlers =
                created -> FrameCodec.install(created, new HandshakeHandler(Side.CONNECTING, fleetKey, own, watched));
    }

    /** Starts to connect. */
    public void start() {
        if (stopped) {
            return;
        }
        ChannelFuture connecting = TcpClient.connect(loops, address, CONNECT_TIMEOUT_MILLIS, handlers);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (connecting.isSuccess()) {
                connecting.channel().closeFuture().addListener(closed -> reconnect());
            } else {
                reconnect();
            }
        });
    }

    private void reconnect() {
        if (stopped || loops.isShuttingDown()) {
            return;
        }
        long jittered = ThreadLocalRandom.current().nextLong(pauseMillis / 2, pauseMillis + 1);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        loops.schedule(this::start, jittered, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection for good. */
    public void stop() {
        stopped = true;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    private final class PauseReset implements PeerListener {
        private final PeerListener listener;

        private PauseReset(PeerListener listener) {
            this.listener = listener;
        }

        @Override
        public void connected(PeerConnection connection) {
            pauseMillis = FIRST_PAUSE_MILLIS;
            listener.connected(connection);
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            listener.received(connection, frame);
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            listener.disconnected(connection, reason);
        }
    }
}
