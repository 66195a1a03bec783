package org.streamring.platform.node;

import java.util.Set;

/**
 * Names of the headers that callers, entries and backend servers exchange.
 *
 * @param requestId identifies a request; the answer repeats it
 * @param deadline milliseconds that the caller will wait
 * @param signature proves that an answer is a backend server's
 * @param account name of the client account, set by the entry
 * @param expectedInstance the only incarnation that may take the request
 * @param notRun says that the backend server has not run the request and never will
 * @param leaving says, as 1, that the backend server leaves and takes nothing new
 * @param limit says how many requests a second the backend server takes from all entries together
 * @param tokens tokens of the prompt, and the most of the answer
 * @param promptParts parts of the prompt in order
 * @param lengthHint tokens of the answer that the caller expects
 * @param urgency rank for the backend server's queue
 * @param lastEventId last event of a stream that the receiver has
 * @param reserved headers that only entries may set; removed from callers' requests
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
        Set<String> reserved) {
    /** Copies the set. */
    public ForwardingHeaders {
        reserved = Set.copyOf(reserved);
    }
}
