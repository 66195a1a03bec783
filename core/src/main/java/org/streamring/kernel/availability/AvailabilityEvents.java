package org.streamring.kernel.availability;

/** Receives changes in the recorded availability of backend servers. */
public interface AvailabilityEvents {
    /**
     * Called when an incarnation is first reported to be shutting down, and again when its row in the list of backend
     * servers reports it after an answer did.
     */
    void leaving(String incarnation, NoticeSource source);

    /** Called when an incarnation that was not backing off asks to receive no requests for the given time. */
    void backOffStarted(String incarnation, long backOffMillis);

    /** Called when an incarnation has answered its first request after a back-off. */
    void backOffEnded(String incarnation);
}
