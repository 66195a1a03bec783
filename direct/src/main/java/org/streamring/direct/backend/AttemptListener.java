package org.streamring.direct.backend;

/** Hears what becomes of an attempt. After an end or a failure nothing follows. */
public interface AttemptListener {
    /** Status and headers came. */
    void onHead(AnswerHead head);

    /** A part of the body came. */
    void onData(byte[] data);

    /** The answer is whole. */
    void onEnd();

    /** There will be no whole answer. */
    void onFailure(AttemptFailure failure, String reason);
}
