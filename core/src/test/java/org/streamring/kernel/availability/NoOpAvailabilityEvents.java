package org.streamring.kernel.availability;

/** Ignores all events. */
public final class NoOpAvailabilityEvents implements AvailabilityEvents {
    @Override
    public void leaving(String incarnation, NoticeSource source) {}

    @Override
    public void backOffStarted(String incarnation, long backOffMillis) {}

    @Override
    public void backOffEnded(String incarnation) {}
}
