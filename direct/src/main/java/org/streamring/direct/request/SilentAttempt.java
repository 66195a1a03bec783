package org.streamring.direct.request;

import java.util.Locale;
import org.streamring.direct.backend.Silence;

/**
 * An attempt whose replica or connection has fallen silent.
 *
 * @param silence what fell silent
 * @param sinceMillis when something arrived last on its connection, or when the request was sent if that is later
 * @param silentMillis time since something arrived on its connection, or since the request was sent
 * @param replicaHeardMillisAgo time since something arrived from the replica on any connection
 * @param events events of the attempt that were passed on
 */
record SilentAttempt(Silence silence, long sinceMillis, long silentMillis, long replicaHeardMillisAgo, int events) {
    /** Returns when something arrived last from the replica on any connection. */
    long replicaHeardMillis() {
        return sinceMillis + silentMillis - replicaHeardMillisAgo;
    }

    /** What a second attempt lacks. */
    enum Lack {
        NOTHING,
        /** The route allows no further attempt. */
        ATTEMPTS,
        /** No answer can arrive before the deadline. */
        TIME,
        /** The request may no longer be sent, as servers crash under it. */
        PERMISSION,
        /** The link of this box is full. */
        LINK,
        /** No other replica takes the request. */
        REPLICA,
        /** The limit of the service allows no retry. */
        RETRY,
        /** The prepaid tokens of the account do not cover another run. */
        TOKENS,
        /** A connection to the replica could not be opened. */
        CONNECTION;

        /** Returns the name in logs and metrics. */
        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
