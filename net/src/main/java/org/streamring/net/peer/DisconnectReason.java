package org.streamring.net.peer;

/** Why a connection to another process ended. */
public enum DisconnectReason {
    /** One side closed it. */
    CLOSED,
    /** It was reset, or carried bytes that are no frame. */
    BROKEN,
    /** Nothing arrived for too long. */
    SILENT
}
