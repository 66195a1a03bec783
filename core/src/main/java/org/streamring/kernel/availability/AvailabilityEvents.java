package org.streamring.kernel.availability;

/** Hears when what is believed of a backend server's availability changes. */
public interface AvailabilityEvents {
    /** An incarnation is heard leaving for the first time, or by its entry after an answer. */
    void leaving(String incarnation, NoticeSource source);

    /** An incarnation that did not rest asks for so many milliseconds of rest. */
    void rests(String incarnation, long restMillis);

    /** An incarnation has answered after its rest. */
    void rested(String incarnation);
}
