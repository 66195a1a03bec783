package org.streamring.net.peer;

import io.netty.channel.Channel;
import org.streamring.net.generated.Wire.Frame;

/** Authenticated connection to another process. Thread-safe. */
public final class PeerConnection {
    /**
     * A connection that stays silent for this time after a newer one to the same process was opened has failed: a
     * process that was paused is heard on both at about the same time.
     */
    public static final long MILLIS_TO_OUTLAST_SILENCE = 1_000;

    private final Channel channel;
    private final PeerIdentity remote;

    PeerConnection(Channel channel, PeerIdentity remote) {
        this.channel = channel;
        this.remote = remote;
    }

    /** Returns the identity of the remote process. */
    public PeerIdentity remote() {
        return remote;
    }

    /**
     * Writes and flushes a frame without waiting for the result.
     *
     * @return false if the connection is already closed and nothing was sent; true does not imply delivery
     */
    public boolean send(Frame frame) {
        if (!channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    /** Returns whether the connection is open as far as this process knows. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Returns whether the outbound buffer is below its high water mark. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the connection without waiting for completion. */
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return remote.name() + "(" + remote.incarnation() + ")";
    }
}
