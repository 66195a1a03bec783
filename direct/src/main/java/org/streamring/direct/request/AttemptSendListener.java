package org.streamring.direct.request;

import org.streamring.kernel.registry.BackendInstance;

/** Callbacks until the request is written to a connection, or the attempt ends before that. */
interface AttemptSendListener {
    /** Whether the request is still worth sending; called when the connection is established. */
    boolean isStillLive();

    /** Called when the request is about to be written to a connection, or was just written. */
    void attemptWritten(BackendInstance instance);

    /** Called once when the attempt has ended, unless it was cancelled. */
    void attemptEnded(AttemptEnd end);
}
