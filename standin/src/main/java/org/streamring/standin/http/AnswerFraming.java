package org.streamring.standin.http;

/** How an answer tells where its body ends. */
public enum AnswerFraming {
    /** By a length in its head. */
    LENGTH,
    /** By chunks, the last of which is empty. */
    CHUNKS,
    /** By the end of its connection. */
    CONNECTION
}
