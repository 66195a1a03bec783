package org.streamring.kernel.prepaid;

/**
 * How much of a grant an incarnation may have used, by the time since its last confirmed write: it starts with one
 * amount and rises evenly to another until the incarnation's patience with a silent store is over. After that all of
 * the grant may be used.
 *
 * <p>The sooner a successor starts, the more it can take back.
 *
 * @param atOnce tokens that may be used when the write was sent
 * @param atPatience tokens that may be used at the end of the patience; not less
 */
public record Mark(long atOnce, long atPatience) {
    /** Nothing may be used. */
    public static final Mark NONE = new Mark(0, 0);

    /** A mark that does not rise. */
    public static Mark of(long tokens) {
        return new Mark(tokens, tokens);
    }

    /** This mark, but nowhere above a limit. */
    public Mark atMost(long limit) {
        return new Mark(Math.min(atOnce, limit), Math.min(atPatience, limit));
    }

    /**
     * Tokens that may be used.
     *
     * @param elapsedMillis time since the write was sent; less than the patience
     */
    public long after(long elapsedMillis, long patienceMillis) {
        double part = Math.max(0, Math.min(1, elapsedMillis / (double) patienceMillis));
        return atOnce + (long) ((atPatience - atOnce) * part);
    }
}
