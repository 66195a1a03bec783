package org.streamring.kernel.permit;

/** Hears when what is believed of a backend server's limit changes. */
public interface LimitEvents {
    /**
     * A server names a limit that it did not name before.
     *
     * @param perSecond requests a second of all entries together
     * @param byEntry the entry that told it; empty after an answer of the server
     */
    void limited(String incarnation, double perSecond, String byEntry);

    /**
     * A server answers without naming a limit, after it named one.
     *
     * @param sentAgeMillis time since that answer's request was sent
     */
    void unlimited(String incarnation, long sentAgeMillis);

    /**
     * A server names something that is no limit.
     *
     * @param first whether it is the first time
     */
    void unreadable(String incarnation, boolean first);
}
