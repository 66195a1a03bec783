package org.streamring.net.peer;

import org.streamring.net.generated.Wire.Frame;

/** Told of authenticated connections and their frames, on the connection's event loop. */
public interface PeerListener {
    /** The other side has proved who it is. */
    void connected(PeerConnection connection);

    /** A frame arrived. */
    void received(PeerConnection connection, Frame frame);

    /** The connection is gone. */
    void disconnected(PeerConnection connection, DisconnectReason reason);
}
