package org.streamring.standin.http;

import java.util.Optional;

/**
 * What a caller has to see of one answer, however it is written.
 *
 * @param id identifier of the request that the answer carries back; empty if it carries none
 * @param events whether the body is a series of events
 */
public record AnswerContent(int status, Optional<String> id, String signature, String body, boolean events) {
    /** Returns the same answer without the identifier of its request. */
    public AnswerContent withoutId() {
        return new AnswerContent(status, Optional.empty(), signature, body, events);
    }
}
