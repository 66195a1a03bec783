package org.streamring.kernel.permit;

/**
 * Limit notice in one answer of a backend server: the request rate that it accepts from all entries together.
 *
 * @param kind whether the answer announces a limit
 * @param perSecond requests per second; 0 unless a limit is announced
 */
public record LimitWord(Kind kind, double perSecond) {
    /** Whether an answer announces a limit. */
    public enum Kind {
        /** The answer announces a limit. */
        NAMED,
        /** The answer announces no limit. */
        NONE,
        /** The limit in the answer cannot be parsed; the recorded limit stays in force. */
        UNREADABLE
    }

    /** Notice of an answer without a limit. */
    public static final LimitWord NONE = new LimitWord(Kind.NONE, 0);

    /** Notice of an answer whose limit cannot be parsed. */
    public static final LimitWord UNREADABLE = new LimitWord(Kind.UNREADABLE, 0);

    /** Creates the notice of an answer that announces a limit. */
    public static LimitWord named(double perSecond) {
        return new LimitWord(Kind.NAMED, perSecond);
    }
}
