package org.streamring.kernel.permit;

/** Ignores all events. */
final class NoOpLimitEvents implements LimitEvents {
    @Override
    public void limited(String incarnation, double perSecond, String byEntry) {
        // ignored
    }

    @Override
    public void unlimited(String incarnation, long sentAgeMillis) {
        // ignored
    }

    @Override
    public void unreadable(String incarnation, boolean first) {
        // ignored
    }
}
