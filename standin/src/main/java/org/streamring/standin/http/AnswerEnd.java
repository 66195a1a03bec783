package org.streamring.standin.http;

/** What a server does with the connection after it has written an answer or a part of one. */
public enum AnswerEnd {
    /** Reads the next request. */
    NEXT_REQUEST("reads the next request"),
    /** Closes the connection normally. */
    CLOSE("closes the connection"),
    /** Resets the connection. */
    RESET("resets the connection"),
    /** Neither writes nor closes. */
    SILENCE("stays silent with the connection open"),
    /** The process of the server ends, which closes its connections normally. */
    EXIT("exits");

    private final String words;

    AnswerEnd(String words) {
        this.words = words;
    }

    @Override
    public String toString() {
        return words;
    }
}
