package org.streamring.net.process;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;

/** Reads what has arrived on a connection before the event loop's next turn. Confined to the event loop. */
public final class ArrivedBytes {
    /** A caller may send on and on; what lies behind so many reads is seen in the next turn. */
    private static final int MOST_READS = 4;

    private ArrivedBytes() {}

    /**
     * Whether a connection is open after all that has arrived was read. Not to be called while something of the same
     * connection is being decoded.
     */
    public static boolean leaveOpen(Channel channel) {
        boolean more = channel.unsafe() instanceof NioUnsafe;
        for (int i = 0; more && i < MOST_READS; i++) {
            more = readOnce(channel);
        }
        return channel.isActive();
    }

    /** Returns whether there may be more. */
    private static boolean readOnce(Channel channel) {
        if (!channel.isActive() || !channel.config().isAutoRead()) {
            return false;
        }
        NioUnsafe socket = (NioUnsafe) channel.unsafe();
        socket.read();
        return socket.recvBufAllocHandle().lastBytesRead() > 0;
    }
}
