package org.streamring.net.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import org.streamring.net.generated.Wire.Frame;

/** Puts frames on a channel: a length of four bytes, then a protobuf message. */
final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_HANDSHAKE_BYTES = 1024;
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final int IDLE_SECONDS = 180;
    private static final String LENGTH_DECODER = "length";

    private FrameCodec() {}

    /** Before authentication only very small frames are accepted. */
    static void install(Channel channel, HandshakeHandler handshake) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new IdleStateHandler(IDLE_SECONDS, 0, 0));
        pipeline.addLast(LENGTH_DECODER, decoder(MAX_HANDSHAKE_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(handshake);
    }

    static void allowLargeFrames(ChannelPipeline pipeline) {
        pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, decoder(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
