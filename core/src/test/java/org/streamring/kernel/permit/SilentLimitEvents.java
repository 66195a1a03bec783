package org.streamring.kernel.permit;

/** Hears and does nothing. */
final class SilentLimitEvents implements LimitEvents {
    @Override
    public void limited(String incarnation, double perSecond, String byEntry) {
        // nobody listens
    }

    @Override
    public void unlimited(String incarnation, long sentAgeMillis) {
        // nobody listens
    }

    @Override
    public void unreadable(String incarnation, boolean first) {
        // nobody listens
    }
}
