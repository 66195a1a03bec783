package org.streamring.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Tells whether a peer reads what is written to its connection. Confined to the event loop. */
public final class WriteProgress {
    private long unwrittenBytes;

    /** Returns whether bytes were read by the peer, or handed over for it, since the last call. */
    public boolean anySinceLastCall(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        if (buffer == null) {
            return false;
        }
        long bytes = buffer.totalPendingWriteBytes() - buffer.currentProgress();
        boolean changed = bytes != unwrittenBytes;
        unwrittenBytes = bytes;
        return changed;
    }

    /** Returns whether bytes were unwritten at the last call of {@link #anySinceLastCall}. */
    public boolean anyUnwritten() {
        return unwrittenBytes > 0;
    }
}
