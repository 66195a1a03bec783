package org.streamring.kernel.availability;

/** Events that no test looks at. */
public final class SilentEvents implements AvailabilityEvents {
    @Override
    public void leaving(String incarnation, NoticeSource source) {}

    @Override
    public void rests(String incarnation, long restMillis) {}

    @Override
    public void rested(String incarnation) {}
}
