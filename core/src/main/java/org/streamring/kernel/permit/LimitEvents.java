package org.streamring.kernel.permit;

/** Receives changes in the recorded rate limits of backend servers. */
public interface LimitEvents {
    /**
     * Called when a server announces a limit that differs from its last recorded one.
     *
     * @param perSecond requests per second, of all entries together
     * @param byEntry entry that reported the limit; empty if an answer of the server announced it
     */
    void limited(String incarnation, double perSecond, String byEntry);

    /**
     * Called when a server that announced a limit answers without one.
     *
     * @param sentAgeMillis time since that answer's request was sent
     */
    void unlimited(String incarnation, long sentAgeMillis);

    /**
     * Called when a server sends a limit that cannot be parsed.
     *
     * @param first whether it is the first such answer of the server
     */
    void unreadable(String incarnation, boolean first);
}
