package org.streamring.net.peer;

/** Reason why a connection to another process ended. */
public enum DisconnectReason {
    /** One of the two sides closed the connection. */
    CLOSED,
    /** The connection was reset, or a received frame could not be decoded. */
    BROKEN,
    /** No frame arrived within the read timeout. */
    SILENT
}
