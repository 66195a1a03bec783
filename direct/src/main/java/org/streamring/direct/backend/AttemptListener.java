package org.streamring.direct.backend;

/** Receives the events of an attempt. No method is called after {@link #onEnd} or {@link #onFailure}. */
public interface AttemptListener {
    /** Called when the status and headers have been received. */
    void onHead(AnswerHead head);

    /** Called for each received part of the body. */
    void onData(byte[] data);

    /** Called when the answer is complete. */
    void onEnd();

    /** Called when the attempt ends without a complete answer. */
    void onFailure(AttemptFailure failure, String reason);
}
