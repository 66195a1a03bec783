package org.streamring.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Tells the end of an answer that ends with its connection from a connection that failed. The decoder ends such an
 * answer whenever its connection becomes inactive. Only a read that returned the end of the stream is a proper end,
 * and not behind
 * a failed write: that write has already consumed the error with which the read would have failed.
 *
 * <p>An answer without a proper end is reported by a {@link PrematureChannelClosureException}. Confined to the event
 * loop.
 */
public final class AnswerEndCheck {
    /** Time to read what had arrived before a write failed. */
    private static final long READ_AFTER_FAILURE_MILLIS = 250;

    private boolean ended;
    private boolean endReceived;
    private boolean writeFailed;
    private boolean outputClosed;
    private boolean endsWithConnection;

    private AnswerEndCheck() {}

    /**
     * Adds the check to a pipeline, around the decoder of answers.
     *
     * @param decoder name of the decoder in the pipeline
     */
    public static AnswerEndCheck around(Channel channel, String decoder) {
        AnswerEndCheck check = new AnswerEndCheck();
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        // What has arrived is still read after a failed write: it may be a whole answer.
        channel.config().setOption(ChannelOption.AUTO_CLOSE, false);
        channel.pipeline().addBefore(decoder, null, check.beforeDecoder());
        channel.pipeline().addAfter(decoder, null, check.afterDecoder());
        return check;
    }

    /** Has to be called before the sending side of the connection is closed on purpose. */
    public void closesOutput() {
        outputClosed = true;
    }

    /** Returns whether everything that the peer sent was received, up to a proper end of the connection. */
    public boolean endReceived() {
        return endReceived;
    }

    private void ended(boolean properly) {
        if (!ended) {
            ended = true;
            endReceived = properly && !writeFailed;
        }
    }

    private void noteOutputClosed(ChannelHandlerContext context) {
        if (!outputClosed && !writeFailed) {
            writeFailed = true;
            context.executor().schedule(() -> context.close(), READ_AFTER_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private ChannelInboundHandler beforeDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
                if (event instanceof ChannelOutputShutdownEvent) {
                    noteOutputClosed(context);
                } else if (event instanceof ChannelInputShutdownEvent) {
                    ended(true);
                }
                super.userEventTriggered(context, event);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) throws Exception {
                ended(false);
                super.channelInactive(context);
            }
        };
    }

    private ChannelInboundHandler afterDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (message instanceof HttpResponse response) {
                    noteHead(response);
                }
                if (message instanceof LastHttpContent && endsWithConnection && ended && !endReceived) {
                    ReferenceCountUtil.release(message);
                    context.fireExceptionCaught(
                            new PrematureChannelClosureException("the connection failed before the end of the answer"));
                    return;
                }
                super.channelRead(context, message);
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
                super.userEventTriggered(context, event);
                if (event instanceof ChannelInputShutdownEvent) {
                    context.close();
                }
            }
        };
    }

    private void noteHead(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        endsWithConnection =
                !interim && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }
}
