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

/** Puts frames on a channel: a length of four bytes, then a protobuf message. */
final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_HANDSHAKE_BYTES = 1024;
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final String IDLE = "idle";
    private static final String LENGTH_DECODER = "length";
    private static final String HANDSHAKE = "handshake";

    /** A box that has just started may take a second or two to answer the first frame. */
    private static final long HANDSHAKE_MILLIS = 4_000;
    /** A process that announces no heartbeats may be idle for long. */
    private static final long UNANNOUNCED_SILENCE_MILLIS = 180_000;

    /**
     * Longest time without a frame from this side. Two a second cost an entry with sixty connections 120 small writes.
     */
    static final int HEARTBEAT_MILLIS = 500;
    /**
     * A connection that falls silent is replaced 1.5 s later; before, an entry asked it for ever, and of thirty entries
     * whose connections fell silent 30 to 39 in 100 requests were served to the end instead of 95. Pauses of a sound
     * process stay far below two heartbeats.
     */
    private static final int HEARTBEATS_UNTIL_SILENT = 3;

    private FrameCodec() {}

    /** Before authentication only very small frames are accepted. */
    static void install(Channel channel, HandshakeHandler handshake) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(IDLE, idle(HANDSHAKE_MILLIS, 0));
        pipeline.addLast(LENGTH_DECODER, decoder(MAX_HANDSHAKE_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(HANDSHAKE, handshake);
    }

    /**
     * Sends heartbeats and expects those of the other side, from now on.
     *
     * @param remoteMillis longest time between two frames that the other side announced; 0 if it sends no heartbeats
     */
    static void startHeartbeats(ChannelPipeline pipeline, int remoteMillis) {
        boolean announced = remoteMillis > 0;
        long silence = announced ? (long) HEARTBEATS_UNTIL_SILENT * remoteMillis : UNANNOUNCED_SILENCE_MILLIS;
        pipeline.replace(IDLE, IDLE, idle(silence, announced ? HEARTBEAT_MILLIS : 0));
        pipeline.addBefore(HANDSHAKE, "heartbeat", new HeartbeatHandler());
    }

    private static IdleStateHandler idle(long readMillis, long writeMillis) {
        return new IdleStateHandler(readMillis, writeMillis, 0, TimeUnit.MILLISECONDS);
    }

    static void allowLargeFrames(ChannelPipeline pipeline) {
        pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, decoder(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
