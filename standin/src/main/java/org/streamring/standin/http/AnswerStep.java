package org.streamring.standin.http;

/** A step of a server that writes an answer. */
public sealed interface AnswerStep {
    /** Writes ASCII text at once. */
    record Write(String text) implements AnswerStep {}

    /** Waits. */
    record Pause(long millis) implements AnswerStep {}

    /** Ends the script. */
    record End(AnswerEnd how) implements AnswerStep {}
}
