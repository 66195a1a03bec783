package org.streamring.kernel.availability;

/** Ignores all events. */
public final class NoOpAvailabilityEvents implements AvailabilityEvents {
    @Override
    public void leaving(String incarnation, NoticeSource source) {}

    @Override
    public void rests(String incarnation, long restMillis) {}

    @Override
    public void rested(String incarnation) {}
}
