package org.streamring.direct.backend;

import java.util.Arrays;

/**
 * Requests that were sent over one connection. A server may answer a request a second time, late. If the same request
 * were sent again over the connection, that answer would be taken for the answer to the second attempt. Confined to the
 * event loop.
 */
final class CarriedRequests {
    /** Bounds the memory of a connection; a new connection for so many requests costs next to nothing. */
    private static final int MAX_REQUESTS = 500;

    private static final int INITIAL_CAPACITY = 8;

    /** Hash codes of the identifiers, which may be long. Two with the same hash code are kept apart needlessly. */
    private int[] hashes = new int[INITIAL_CAPACITY];

    private String last = "";
    private int count;

    void add(String id) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count] = id.hashCode();
        last = id;
        count++;
    }

    /** Whether no request with this identifier was sent before. */
    boolean admits(String id) {
        int hash = id.hashCode();
        return Arrays.stream(hashes, 0, count).noneMatch(each -> each == hash);
    }

    /** Whether no further request may be sent, whatever its identifier. */
    boolean isFull() {
        return count >= MAX_REQUESTS;
    }

    /** Returns the identifier of the last request; empty before the first one. */
    String last() {
        return last;
    }

    int count() {
        return count;
    }
}
