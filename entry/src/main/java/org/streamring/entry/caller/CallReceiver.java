package org.streamring.entry.caller;

/** Receives calls on the event loop of the caller's connection; must not block. */
public interface CallReceiver {
    /**
     * Receives a call.
     *
     * @param requestId identifier assigned to the call
     * @param sink receives the answer
     * @return action to run when the caller closes its connection
     */
    Runnable receive(String requestId, Call call, AnswerSink sink);
}
