package org.streamring.net.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Hello;
import org.streamring.net.generated.Wire.Proof;
import org.streamring.net.peer.FleetKey.Side;
import org.streamring.net.process.ArrivedBytes;

/**
 * Authenticates both sides by the fleet key, then passes received frames to the listener. Any other frame received
 * before authentication closes the channel.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOGGER = LoggerFactory.getLogger(HandshakeHandler.class);

    private final Side side;
    private final FleetKey fleetKey;
    private final Hello ownHello;
    private final PeerListener listener;
    private @Nullable Hello remoteHello;
    private @Nullable PeerConnection connection;
    private DisconnectReason reason = DisconnectReason.CLOSED;
    private long silentSinceNanos;

    HandshakeHandler(Side side, FleetKey fleetKey, PeerIdentity ownIdentity, PeerListener listener) {
        this.side = side;
        this.fleetKey = fleetKey;
        this.listener = listener;
        this.ownHello = Hello.newBuilder()
                .setRole(ownIdentity.role().name())
                .setName(ownIdentity.name())
                .setIncarnation(ownIdentity.incarnation())
                .setNonce(FleetKey.nonce())
                .setHeartbeatMillis(FrameCodec.HEARTBEAT_INTERVAL_MILLIS)
                .build();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (side == Side.CONNECTING) {
            context.writeAndFlush(Frame.newBuilder().setHello(ownHello).build());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (connection != null) {
            listener.received(connection, frame);
        } else if (side == Side.ACCEPTING) {
            accept(context, frame);
        } else {
            connect(context, frame);
        }
    }

    private void accept(ChannelHandlerContext context, Frame frame) {
        if (remoteHello == null && frame.hasHello()) {
            remoteHello = frame.getHello();
            Hello answer = ownHello.toBuilder()
                    .setProof(fleetKey.proof(Side.ACCEPTING, remoteHello, ownHello))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setHello(answer).build());
            return;
        }
        boolean proofValid = remoteHello != null
                && frame.hasProof()
                && FleetKey.matches(
                        fleetKey.proof(Side.CONNECTING, remoteHello, ownHello),
                        frame.getProof().getProof());
        if (proofValid) {
            authenticated(context, remoteHello);
        } else {
            reject(context);
        }
    }

    private void connect(ChannelHandlerContext context, Frame frame) {
        boolean proofValid = frame.hasHello()
                && FleetKey.matches(
                        fleetKey.proof(Side.ACCEPTING, ownHello, frame.getHello()),
                        frame.getHello().getProof());
        if (!proofValid) {
            reject(context);
            return;
        }
        Proof proof = Proof.newBuilder()
                .setProof(fleetKey.proof(Side.CONNECTING, ownHello, frame.getHello()))
                .build();
        context.writeAndFlush(Frame.newBuilder().setProof(proof).build());
        authenticated(context, frame.getHello());
    }

    private void authenticated(ChannelHandlerContext context, Hello hello) {
        PeerIdentity.Role role;
        try {
            role = PeerIdentity.Role.valueOf(hello.getRole());
        } catch (IllegalArgumentException e) {
            reject(context);
            return;
        }
        connection =
                new PeerConnection(context.channel(), new PeerIdentity(role, hello.getName(), hello.getIncarnation()));
        FrameCodec.startHeartbeats(context.pipeline(), hello.getHeartbeatMillis());
        listener.connected(connection);
        // must come last: replacing the decoder immediately passes on frames that arrived right after the proof
        FrameCodec.allowLargeFrames(context.pipeline());
    }

    private static void reject(ChannelHandlerContext context) {
        LOGGER.warn("peer_rejected step=handshake peer={}", context.channel().remoteAddress());
        context.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle) || ArrivedBytes.anyAfterReading(context.channel())) {
            return;
        }
        if (idle.isFirst()) {
            silentSinceNanos = System.nanoTime();
        }
        PeerConnection silent = connection;
        if (silent == null || silentForLong() || listener.closesSilent(silent)) {
            reason = DisconnectReason.SILENT;
            context.close();
        }
    }

    private boolean silentForLong() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSinceNanos) >= FrameCodec.MAX_SILENCE_MILLIS;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (connection != null) {
            listener.disconnected(connection, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("peer_channel_failed peer={}", context.channel().remoteAddress(), cause);
        reason = DisconnectReason.BROKEN;
        context.close();
    }
}
