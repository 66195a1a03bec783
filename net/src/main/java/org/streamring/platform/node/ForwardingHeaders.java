package org.streamring.platform.node;

import java.util.List;
import java.util.Set;

/**
 * Names of the headers that callers, entries and backend servers exchange.
 *
 * @param requestId identifier of a request, repeated in the response
 * @param deadline time in milliseconds that the caller will wait for the response
 * @param signature proof that a response was sent by a backend server
 * @param account name of the client account; set by the entry
 * @param expectedInstance only incarnation that may accept the request
 * @param notRun set if the backend server has not run the request and never will
 * @param leaving 1 if the backend server is shutting down and accepts no new requests
 * @param limit requests per second that the backend server accepts from all entries together
 * @param tokens number of prompt tokens and maximum number of answer tokens
 * @param promptParts parts of the prompt, in order
 * @param lengthHint number of answer tokens expected by the caller
 * @param urgency rank of the request in the queue of the backend server
 * @param lastEventId identifier of the last stream event received
 * @param resumes identifier of the request that brought the first event of the stream which a caller resumes
 * @param reserved headers that only entries may set; removed from requests of callers
 */
public record ForwardingHeaders(
        String requestId,
        String deadline,
        String signature,
        String account,
        String expectedInstance,
        String notRun,
        String leaving,
        String limit,
        String tokens,
        String promptParts,
        String lengthHint,
        String urgency,
        String lastEventId,
        String resumes,
        Set<String> reserved) {
    /** Copies the set of reserved headers. */
    public ForwardingHeaders {
        reserved = Set.copyOf(reserved);
    }

    /** Returns the names of the headers that a request has at most once. */
    public List<String> singleInRequests() {
        return List.of(requestId, deadline, tokens, promptParts, lengthHint, lastEventId);
    }
}
