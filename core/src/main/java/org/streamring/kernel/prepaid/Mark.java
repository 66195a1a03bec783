package org.streamring.kernel.prepaid;

/**
 * How much of a grant an incarnation may have used, by the time since its last confirmed write: a first amount, and
 * from where a line with the slope of its demand exceeds it, that line, until the incarnation's patience with a silent
 * store is over.
 *
 * <p>Beyond the patience the rest of the grant is released evenly, until the time of demand for which it was sized. The
 * sooner a successor starts, the more it can take back, also where nobody is left to tell what was used.
 *
 * @param start tokens that were used when the write was planned, where the line begins
 * @param atOnce tokens that may be used when the write was sent; not less than the start
 * @param atPatience tokens that may be used at the end of the patience; not less
 */
public record Mark(long start, long atOnce, long atPatience) {
    /** A mark that does not rise. */
    public static Mark of(long tokens) {
        return new Mark(tokens, tokens, tokens);
    }

    /** This mark, but nowhere above a limit. */
    public Mark atMost(long limit) {
        return new Mark(Math.min(start, limit), Math.min(atOnce, limit), Math.min(atPatience, limit));
    }

    /**
     * Tokens that may be used.
     *
     * @param elapsedMillis time since the write was sent; less than the patience
     */
    public long after(long elapsedMillis, long patienceMillis) {
        double part = Math.max(0, Math.min(1, elapsedMillis / (double) patienceMillis));
        return Math.max(atOnce, start + (long) ((atPatience - start) * part));
    }

    /**
     * Tokens of a grant that may be used after the patience.
     *
     * @param elapsedMillis time since the last confirmed write was sent
     * @param coverMillis time after which all of the grant may be used; more than the patience
     */
    public long released(long granted, long elapsedMillis, long patienceMillis, long coverMillis) {
        double part = (elapsedMillis - patienceMillis) / (double) (coverMillis - patienceMillis);
        double rest = Math.max(0, granted - atPatience) * Math.max(0, Math.min(1, part));
        return Math.min(granted, atPatience + (long) rest);
    }
}
