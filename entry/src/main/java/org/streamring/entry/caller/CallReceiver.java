package org.streamring.entry.caller;

/** Takes calls, on a caller's event loop; must not block. */
public interface CallReceiver {
    /**
     * Takes a call.
     *
     * @param requestId identifier given to it
     * @return told when the caller goes away
     */
    Runnable receive(String requestId, Call call, AnswerSink sink);
}
