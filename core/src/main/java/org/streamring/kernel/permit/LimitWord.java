package org.streamring.kernel.permit;

/**
 * What one answer of a backend server says of the requests that it takes from all entries together.
 *
 * @param kind whether it says anything
 * @param perSecond requests a second; 0 unless a limit is named
 */
public record LimitWord(Kind kind, double perSecond) {
    /** Whether an answer names a limit. */
    public enum Kind {
        /** It names one. */
        NAMED,
        /** It names none. */
        NONE,
        /** It names something that is no limit, which changes nothing. */
        UNREADABLE
    }

    /** It says nothing of a limit. */
    public static final LimitWord NONE = new LimitWord(Kind.NONE, 0);

    /** It says something that can't be read. */
    public static final LimitWord UNREADABLE = new LimitWord(Kind.UNREADABLE, 0);

    /** It names a limit. */
    public static LimitWord named(double perSecond) {
        return new LimitWord(Kind.NAMED, perSecond);
    }
}
