package org.streamring.direct;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.ListeningSocket;

/** HTTP server for the readiness check of the load balancer: whether the process accepts new connections. */
final class ReadinessServer {
    private static final int MAX_BODY_BYTES = 1_024;

    private final String path;
    private final BooleanSupplier ready;

    ReadinessServer(EventLoopGroup loops, InetSocketAddress address, String path, BooleanSupplier ready)
            throws PeerException {
        this.path = path;
        this.ready = ready;
        new ListeningSocket(loops, address, accepted -> accepted.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler()));
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpResponseStatus status = statusOf(request);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
            } else {
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        private HttpResponseStatus statusOf(FullHttpRequest request) {
            if (!request.uri().equals(path)) {
                return HttpResponseStatus.NOT_FOUND;
            }
            return ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
