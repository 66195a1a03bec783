package org.streamring.kernel.availability;

/**
 * Availability of a backend server, as reported in one of its answers.
 *
 * @param shuttingDown whether the server is shutting down and accepts no new requests
 * @param backOffMillis back-off that the server asks of this entry, in milliseconds from the answer; 0 if it asks for
 *     none
 */
public record BackendNotice(boolean shuttingDown, long backOffMillis) {
    /** An answer that reports neither a shutdown nor a back-off. */
    public static final BackendNotice NONE = new BackendNotice(false, 0);
}
