package org.streamring.net.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.streamring.net.generated.Wire.Frame;

/** Installs the frame codec of a channel. A frame is a four-byte length followed by a protobuf message. */
final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_HANDSHAKE_BYTES = 1024;
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final String IDLE = "idle";
    private static final String LENGTH_DECODER = "length";
    private static final String HANDSHAKE = "handshake";

    /** Allows for a box that has just started, which may take 1 to 2 s to answer the first frame. */
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 4_000;
    /** Read timeout for a process that does not announce heartbeats and may therefore be idle for a long time. */
    private static final long READ_TIMEOUT_WITHOUT_HEARTBEATS_MILLIS = 180_000;

    /**
     * Longest time without a frame from this side. At two heartbeats per second, an entry with 60 connections makes 120
     * small writes per second.
     */
    static final int HEARTBEAT_INTERVAL_MILLIS = 500;
    /**
     * Number of heartbeat intervals without a frame after which a connection is replaced, that is 1.5 s, so that
     * unresponsive connections are not used for long.
     */
    private static final int MISSED_HEARTBEATS_UNTIL_TIMEOUT = 3;

    /**
     * Time after the read timeout for which a connection with work in progress is kept, as a process that pauses
     * goes on with it.
     */
    static final long MAX_SILENCE_MILLIS = 8_000;

    private FrameCodec() {}

    /** Adds the handlers of a new channel. Frames are limited to 1024 bytes until the peer is authenticated. */
    static void install(Channel channel, HandshakeHandler handshake) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(IDLE, idle(HANDSHAKE_TIMEOUT_MILLIS, 0));
        pipeline.addLast(LENGTH_DECODER, decoder(MAX_HANDSHAKE_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(HANDSHAKE, handshake);
    }

    /**
     * Starts sending heartbeats and enforcing the read timeout for those of the remote process.
     *
     * @param remoteIntervalMillis heartbeat interval in ms announced by the remote process; 0 if it sends none
     */
    static void startHeartbeats(ChannelPipeline pipeline, int remoteIntervalMillis) {
        boolean announced = remoteIntervalMillis > 0;
        long readTimeoutMillis = announced
                ? (long) MISSED_HEARTBEATS_UNTIL_TIMEOUT * remoteIntervalMillis
                : READ_TIMEOUT_WITHOUT_HEARTBEATS_MILLIS;
        pipeline.replace(IDLE, IDLE, idle(readTimeoutMillis, announced ? HEARTBEAT_INTERVAL_MILLIS : 0));
        pipeline.addBefore(HANDSHAKE, "heartbeat", new HeartbeatHandler());
    }

    private static IdleStateHandler idle(long readIdleMillis, long writeIdleMillis) {
        return new IdleStateHandler(readIdleMillis, writeIdleMillis, 0, TimeUnit.MILLISECONDS);
    }

    /** Raises the frame limit to 8 MiB, for use after authentication. */
    static void allowLargeFrames(ChannelPipeline pipeline) {
        pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, decoder(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
