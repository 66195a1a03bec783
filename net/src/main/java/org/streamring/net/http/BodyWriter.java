package org.streamring.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * Writes a body piece by piece, as fast as the peer reads it: each byte that is written ahead of the peer is copied to
 * a buffer outside the heap. Confined to the event loop.
 */
public final class BodyWriter {
    /** Largest number of bytes that are written at once; a body up to this size can be written with its head. */
    public static final int PIECE_BYTES = 32_768;

    private final Channel channel;
    private final Body body;
    private int segment;
    private int position;
    private boolean ended;

    /** Creates a writer of a body whose head was written to the channel. */
    public BodyWriter(Channel channel, Body body) {
        this.channel = channel;
        this.body = body;
    }

    /** Whether the last piece was handed over. */
    public boolean ended() {
        return ended;
    }

    /**
     * Writes pieces while the channel is writable. Returns true once, when the last piece was handed over; the end of
     * the message has to be written then.
     */
    public boolean writeMore() {
        while (!ended && channel.isWritable()) {
            ByteBuf piece = nextPiece();
            if (!piece.isReadable()) {
                ended = true;
                return true;
            }
            channel.writeAndFlush(new DefaultHttpContent(piece));
        }
        return false;
    }

    private ByteBuf nextPiece() {
        while (segment < body.segments().size()) {
            byte[] bytes = body.segments().get(segment);
            int length = Math.min(PIECE_BYTES, bytes.length - position);
            if (length > 0) {
                position += length;
                return Unpooled.wrappedBuffer(bytes, position - length, length);
            }
            segment++;
            position = 0;
        }
        return Unpooled.EMPTY_BUFFER;
    }
}
