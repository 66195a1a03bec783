package org.streamring.kernel.suspect;

import java.util.Map;

/** An attempt in progress, as recorded when it was sent. Confined to one thread. */
public final class SentAttempt {
    private static final long NOT_BEGUN = Long.MAX_VALUE;

    private final RequestTraits traits;
    private final String server;
    private final Map<SuspectId, Integer> rounds;
    private final boolean trial;
    private long begunSequence = NOT_BEGUN;

    SentAttempt(RequestTraits traits, String server, Map<SuspectId, Integer> rounds, boolean trial) {
        this.traits = traits;
        this.server = server;
        this.rounds = rounds;
        this.trial = trial;
    }

    /** Returns the traits of the request. */
    public RequestTraits traits() {
        return traits;
    }

    /** Returns the name of the server process to which the attempt was sent. */
    public String server() {
        return server;
    }

    /** Returns whether the attempt is the only one that is sent after the block of one of its suspects. */
    public boolean trial() {
        return trial;
    }

    /** Returns the round of the attempt for a suspect. */
    int round(SuspectId suspect) {
        return rounds.getOrDefault(suspect, 1);
    }

    /** Records that the answer began after the crash with the given sequence number. */
    void begun(long sequence) {
        begunSequence = Math.min(begunSequence, sequence);
    }

    /** Returns the sequence number of the last crash recorded before the answer began. */
    long begunSequence() {
        return begunSequence;
    }
}
