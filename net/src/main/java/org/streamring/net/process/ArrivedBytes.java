package org.streamring.net.process;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;

/** Reads pending bytes of a connection before the next event loop iteration. Confined to the event loop. */
public final class ArrivedBytes {
    /** Bounds the work for a peer that keeps sending; any further bytes are read in the next event loop iteration. */
    private static final int MAX_READS = 4;

    private ArrivedBytes() {}

    /**
     * Reads pending bytes to detect a close by the peer, and returns whether the connection is still open. Must not be
     * called while data of the same connection is being decoded.
     */
    public static boolean isOpenAfterReading(Channel channel) {
        boolean more = channel.unsafe() instanceof NioUnsafe;
        for (int i = 0; more && i < MAX_READS; i++) {
            more = readOnce(channel);
        }
        return channel.isActive();
    }

    /**
     * Reads pending bytes and returns whether there were any, or the connection was closed behind them. Must not be
     * called while data of the same connection is being decoded.
     */
    public static boolean anyAfterReading(Channel channel) {
        boolean any = channel.unsafe() instanceof NioUnsafe && readOnce(channel);
        return !isOpenAfterReading(channel) || any;
    }

    /** Reads once and returns whether more bytes may be pending. */
    private static boolean readOnce(Channel channel) {
        if (!channel.isActive() || !channel.config().isAutoRead()) {
            return false;
        }
        NioUnsafe socket = (NioUnsafe) channel.unsafe();
        socket.read();
        return socket.recvBufAllocHandle().lastBytesRead() > 0;
    }
}
