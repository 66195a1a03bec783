package org.streamring.kernel.permit;

/**
 * What an entry heard of a server's limit.
 *
 * @param incarnation the server
 * @param perSecond requests a second; infinite if it names no limit any more
 * @param sentAgeMillis time since the newest request was sent whose answer said so
 * @param heardAgeMillis time since such an answer was heard last
 */
public record LimitNews(String incarnation, double perSecond, long sentAgeMillis, long heardAgeMillis) {
    /** Whether it is a limit, or the end of one. */
    public boolean isReadable() {
        return perSecond >= 0 && sentAgeMillis >= 0 && heardAgeMillis >= 0;
    }

    /** It as of a moment of the receiver's clock; what was late on its way seems newer by that. */
    NamedLimit asOf(long nowMillis) {
        return new NamedLimit(perSecond, nowMillis - sentAgeMillis, nowMillis - heardAgeMillis);
    }
}
