package org.streamring.net.peer;

import io.netty.channel.Channel;
import org.streamring.net.generated.Wire.Frame;

/** An authenticated connection. Safe for use by many threads. */
public final class PeerConnection {
    private final Channel channel;
    private final PeerIdentity remote;

    PeerConnection(Channel channel, PeerIdentity remote) {
        this.channel = channel;
        this.remote = remote;
    }

    /** Who is at the other end. */
    public PeerIdentity remote() {
        return remote;
    }

    /**
     * Sends a frame.
     *
     * @return false if the connection is gone already, so that nothing was sent; true means nothing about arrival
     */
    public boolean send(Frame frame) {
        if (!channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    /** Whether more can be written without building up a long queue. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return remote.name() + "(" + remote.incarnation() + ")";
    }
}
