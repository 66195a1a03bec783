package org.streamring.net.peer;

import org.streamring.net.generated.Wire.Frame;

/** Receives the events of authenticated connections. All methods are called on the connection's event loop. */
public interface PeerListener {
    /** Called once the remote process has been authenticated. */
    void connected(PeerConnection connection);

    /** Called for each frame received, except heartbeats. */
    void received(PeerConnection connection, Frame frame);

    /**
     * Called when no frame has arrived within the read timeout, and again after each further one.
     *
     * @return whether the connection is closed now; it is closed later if the remote process stays silent
     */
    default boolean closesSilent(PeerConnection connection) {
        return true;
    }

    /** Called when an authenticated connection has been closed. */
    void disconnected(PeerConnection connection, DisconnectReason reason);
}
