package org.streamring.direct.backend;

/**
 * Bytes from a backend server that belong to no request.
 *
 * @param place where they were found
 * @param bytes number of bytes; 0 if it is not known
 * @param request identifier of the last request that was sent on the connection
 * @param answerId identifier in the answer that the bytes form; empty if there is none
 */
public record StrayBytes(Place place, long bytes, String request, String answerId) {
    /** Where stray bytes are found. */
    public enum Place {
        /** Received while no request was in progress. */
        IDLE,
        /** Received together with the end of an answer. */
        BEHIND_ANSWER,
        /** An answer to another request, received in place of the one to the request in progress. */
        BEFORE_ANSWER
    }
}
