package org.streamring.net.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Heartbeat;

/** Sends a heartbeat when the channel has been write-idle, and discards received heartbeats. */
final class HeartbeatHandler extends ChannelInboundHandlerAdapter {
    private static final Frame HEARTBEAT =
            Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof Frame frame) || !frame.hasHeartbeat()) {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle && idle.state() == IdleState.WRITER_IDLE) {
            context.writeAndFlush(HEARTBEAT, context.voidPromise());
        } else {
            context.fireUserEventTriggered(event);
        }
    }
}
