package org.streamring.kernel.suspect;

/**
 * Identity of something that different attempts have in common and that may crash the servers which process it.
 *
 * @param kind what is identified
 * @param digest keyed digest in URL-safe Base64, suitable for rows and log lines
 */
public record SuspectId(Kind kind, String digest) {
    /** What a {@link SuspectId} identifies. */
    public enum Kind {
        /** A request with all its repetitions: path, client account and body. */
        REQUEST(""),
        /** A part of a prompt that the prompts of different requests may share. */
        PROMPT_PART("p:"),
        /** A client account; it is never a suspect itself. */
        ACCOUNT("a:");

        private final String prefix;

        Kind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** Returns the identity of a request. */
    public static SuspectId request(String digest) {
        return new SuspectId(Kind.REQUEST, digest);
    }

    /** Returns the identity of a part of a prompt. */
    public static SuspectId promptPart(String digest) {
        return new SuspectId(Kind.PROMPT_PART, digest);
    }

    /** Returns the identity of a client account. */
    public static SuspectId account(String digest) {
        return new SuspectId(Kind.ACCOUNT, digest);
    }

    /** Returns the identity that {@link #text} represents. */
    public static SuspectId parse(String text) {
        for (Kind kind : Kind.values()) {
            if (!kind.prefix.isEmpty() && text.startsWith(kind.prefix)) {
                return new SuspectId(kind, text.substring(kind.prefix.length()));
            }
        }
        return request(text);
    }

    /** Returns the text for rows and log lines; the text of a request is its digest. */
    public String text() {
        return kind.prefix + digest;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SuspectId that && kind == that.kind && digest.equals(that.digest);
    }

    /** Differs from the generated one in being the same in every run, so that simulations can be repeated. */
    @Override
    public int hashCode() {
        return text().hashCode();
    }
}
