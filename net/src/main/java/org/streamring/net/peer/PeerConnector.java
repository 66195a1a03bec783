package org.streamring.net.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.FleetKey.Side;
import org.streamring.net.process.TcpClient;

/** Maintains a connection to another process of the fleet, reconnecting with exponential back-off and jitter. */
public final class PeerConnector {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 3_000;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final Consumer<Channel> pipelineInitializer;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private volatile boolean stopped;
    private volatile @Nullable Channel channel;

    /** Creates a connector; {@link #start} opens the connection. */
    public PeerConnector(
            EventLoopGroup loops,
            InetSocketAddress address,
            FleetKey fleetKey,
            PeerIdentity ownIdentity,
            PeerListener listener) {
        this(loops, address, () -> fleetKey, ownIdentity, listener);
    }

    /**
     * Creates a connector; {@link #start} opens the connection.
     *
     * @param fleetKey supplies the key for each new connection
     */
    public PeerConnector(
            EventLoopGroup loops,
            InetSocketAddress address,
            Supplier<FleetKey> fleetKey,
            PeerIdentity ownIdentity,
            PeerListener listener) {
        this.loops = loops;
        this.address = address;
        PeerListener resettingListener = new BackoffReset(listener);
        this.pipelineInitializer = created -> FrameCodec.install(
                created, new HandshakeHandler(Side.CONNECTING, fleetKey.get(), ownIdentity, resettingListener));
    }

    /** Starts connecting; does nothing after {@link #stop}. */
    public void start() {
        if (stopped) {
            return;
        }
        ChannelFuture connecting = TcpClient.connect(loops, address, CONNECT_TIMEOUT_MILLIS, pipelineInitializer);
        Channel opened = connecting.channel();
        channel = opened;
        connecting.addListener(done -> {
            if (connecting.isSuccess()) {
                opened.closeFuture().addListener(closed -> reconnect(opened));
            } else {
                reconnect(opened);
            }
        });
    }

    /**
     * Opens a connection that replaces the current one. The current one stays open until it is closed by its user or by
     * the remote process.
     */
    public void replace() {
        start();
    }

    private void reconnect(Channel ended) {
        if (stopped || loops.isShuttingDown() || ended != channel) {
            return;
        }
        long delayMillis = ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        loops.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops reconnecting. The current connection stays open until its user or the remote process closes it. */
    public void stopReconnecting() {
        stopped = true;
    }

    /** Closes the connection and stops reconnecting. */
    public void stop() {
        stopReconnecting();
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    /** Resets the back-off once a connection has been authenticated. */
    private final class BackoffReset implements PeerListener {
        private final PeerListener listener;

        private BackoffReset(PeerListener listener) {
            this.listener = listener;
        }

        @Override
        public void connected(PeerConnection connection) {
            backoffMillis = INITIAL_BACKOFF_MILLIS;
            listener.connected(connection);
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            listener.received(connection, frame);
        }

        @Override
        public boolean closesSilent(PeerConnection connection) {
            return listener.closesSilent(connection);
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            listener.disconnected(connection, reason);
        }
    }
}
