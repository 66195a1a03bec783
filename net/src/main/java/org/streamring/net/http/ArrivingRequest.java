package org.streamring.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Tells whether a part of a request has arrived on a connection. Confined to the event loop. */
public final class ArrivingRequest {
    private final LongSupplier clock;
    private Optional<HttpRequest> head = Optional.empty();
    private boolean begun;
    private long begunMillis;
    private long lastReadMillis;

    /**
     * Creates the state of a new connection.
     *
     * @param clock monotonic clock in milliseconds
     */
    public ArrivingRequest(LongSupplier clock) {
        this.clock = clock;
        this.lastReadMillis = clock.getAsLong();
    }

    /** Returns whether bytes of a request have arrived that is not whole yet. */
    public boolean begun() {
        return begun;
    }

    /** Returns the time at which the first bytes arrived of the request that is not whole yet. */
    public long begunMillis() {
        return begunMillis;
    }

    /** Returns the head of the request that is not whole yet; empty if its head has not arrived either. */
    public Optional<HttpRequest> head() {
        return head;
    }

    /** Returns the time at which bytes arrived last. */
    public long lastReadMillis() {
        return lastReadMillis;
    }

    /** Forgets the request that is not whole yet, because it was refused. */
    public void refused() {
        begun = false;
        head = Optional.empty();
    }

    /** Line ends and other control characters between requests belong to none; the decoder skips them as well. */
    private static boolean beginsRequest(ByteBuf bytes) {
        return bytes.forEachByte(each -> Character.isISOControl(each) || each == ' ') >= 0;
    }

    /** Returns the handler that has to precede the decoder. */
    public ChannelInboundHandler beforeDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                lastReadMillis = clock.getAsLong();
                if (!begun && message instanceof ByteBuf bytes && beginsRequest(bytes)) {
                    begun = true;
                    begunMillis = lastReadMillis;
                }
                super.channelRead(context, message);
            }
        };
    }

    /** Called by the decoder when the head of a request is complete. */
    void headDecoded(HttpRequest request) {
        head = Optional.of(request);
    }

    /** Called by the decoder when a request is whole, with the bytes that have arrived behind it. */
    void wholeBefore(ByteBuf rest) {
        head = Optional.empty();
        begun = beginsRequest(rest);
        begunMillis = lastReadMillis;
    }
}
