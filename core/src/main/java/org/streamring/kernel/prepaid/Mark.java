package org.streamring.kernel.prepaid;

/**
 * How much of a grant an incarnation may have used, by the time since its last confirmed write: a first amount, and
 * from where a line with the slope of its demand exceeds it, that line, until the incarnation's patience with a silent
 * store is over.
 *
 * <p>The sooner a successor starts, the more it can take back.
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
}
