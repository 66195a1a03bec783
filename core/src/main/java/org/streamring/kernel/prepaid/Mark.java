package org.streamring.kernel.prepaid;

/**
 * Usage cap of a grant: the tokens that an incarnation may have used, as a function of the time since its last
 * confirmed write. The cap is constant at first. From the point where a line with the slope of the demand exceeds it,
 * the cap follows that line until the silence timeout.
 *
 * <p>After the silence timeout, the remainder of the grant is released evenly until the end of the period of demand for
 * which the grant was sized. The sooner a successor starts, the more tokens it can reclaim, even if no witness remains
 * that recorded the use.
 *
 * @param start tokens used when the write was planned; the line begins there
 * @param atOnce tokens that may be used when the write was sent; at least {@code start}
 * @param atSilenceTimeout tokens that may be used at the end of the silence timeout; at least {@code atOnce}
 */
public record Mark(long start, long atOnce, long atSilenceTimeout) {
    /** Returns a usage cap that does not rise. */
    public static Mark of(long tokens) {
        return new Mark(tokens, tokens, tokens);
    }

    /** Returns this usage cap, reduced to a limit where it exceeds the limit. */
    public Mark atMost(long limit) {
        return new Mark(Math.min(start, limit), Math.min(atOnce, limit), Math.min(atSilenceTimeout, limit));
    }

    /**
     * Returns the tokens that may be used before the silence timeout.
     *
     * @param elapsedMillis time since the write was sent; less than the silence timeout
     * @param silenceTimeoutMillis silence timeout
     */
    public long after(long elapsedMillis, long silenceTimeoutMillis) {
        double elapsedPart = Math.max(0, Math.min(1, elapsedMillis / (double) silenceTimeoutMillis));
        return Math.max(atOnce, start + (long) ((atSilenceTimeout - start) * elapsedPart));
    }

    /**
     * Returns the tokens of a grant that may be used after the silence timeout.
     *
     * @param elapsedMillis time since the last confirmed write was sent
     * @param silenceTimeoutMillis silence timeout
     * @param fullReleaseMillis time after which all of the grant may be used; more than the silence timeout
     */
    public long released(long granted, long elapsedMillis, long silenceTimeoutMillis, long fullReleaseMillis) {
        double elapsedPart =
                (elapsedMillis - silenceTimeoutMillis) / (double) (fullReleaseMillis - silenceTimeoutMillis);
        double releasedTokens = Math.max(0, granted - atSilenceTimeout) * Math.max(0, Math.min(1, elapsedPart));
        return Math.min(granted, atSilenceTimeout + (long) releasedTokens);
    }
}
