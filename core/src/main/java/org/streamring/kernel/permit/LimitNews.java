package org.streamring.kernel.permit;

/**
 * Update on the limit of a backend server, sent between entries.
 *
 * @param incarnation incarnation of the server
 * @param perSecond requests per second; infinite if the server no longer announces a limit
 * @param sentAgeMillis time since the newest request was sent whose answer carried this limit
 * @param receivedAgeMillis time since such an answer was last received
 */
public record LimitNews(String incarnation, double perSecond, long sentAgeMillis, long receivedAgeMillis) {
    /** Returns whether the values are valid, for a limit or for the end of one. */
    public boolean isReadable() {
        return perSecond >= 0 && sentAgeMillis >= 0 && receivedAgeMillis >= 0;
    }

    /** Converts the ages to times of the receiver's clock; an update delayed on its way appears newer by that delay. */
    AnnouncedLimit asOf(long nowMillis) {
        return new AnnouncedLimit(perSecond, nowMillis - sentAgeMillis, nowMillis - receivedAgeMillis);
    }
}
