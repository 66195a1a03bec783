package org.streamring.kernel.placement;

/**
 * What this entry knows of one replica from its own attempts.
 *
 * <p>Health is judged by results: an attempt that fails counts against the replica, one that succeeds restores it.
 * Confined to one thread.
 */
public final class ReplicaState {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MILLIS = 800;
    private static final long LONGEST_EJECTION_MILLIS = 4_000;
    private static final double FAILURE_WEIGHT = 0.1;
    private static final double FAILING_PART = 0.5;

    private int running;
    private long outstandingTokens;
    private int consecutiveFailures;
    private double failingPart;
    private int ejections;
    private long ejectedUntilMillis;
    private boolean onTrial;

    /** Notes a started attempt and its prompt. */
    public void started(long tokens) {
        running++;
        outstandingTokens += tokens;
    }

    /** Notes that the prompt of an attempt was read: its first event or answer came, or it ended before. */
    public void promptRead(long tokens) {
        outstandingTokens -= tokens;
    }

    /** Notes the end of an attempt. */
    public void ended() {
        running--;
    }

    /** Notes a sound answer. */
    public void succeeded() {
        consecutiveFailures = 0;
        ejections = 0;
        onTrial = false;
        failingPart -= FAILURE_WEIGHT * failingPart;
    }

    /** Notes an answer that the replica spoiled, or that never came. */
    public void failed(long nowMillis) {
        consecutiveFailures++;
        failingPart += FAILURE_WEIGHT * (1 - failingPart);
        if (onTrial || consecutiveFailures >= FAILURES_TO_EJECT || failingPart > FAILING_PART) {
            eject(nowMillis);
        }
    }

    /** Notes that the replica can't be reached, or is silent. */
    public void unreachable(long nowMillis) {
        consecutiveFailures++;
        eject(nowMillis);
    }

    /** Whether the replica may get a request now; after an ejection one at a time until one succeeds. */
    public boolean usable(long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return false;
        }
        return !onTrial || running == 0;
    }

    /** Attempts in progress. */
    public int running() {
        return running;
    }

    /** Prompt tokens sent and not yet read. */
    public long outstandingTokens() {
        return outstandingTokens;
    }

    private void eject(long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return;
        }
        long pause = Math.min(LONGEST_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(ejections, 4));
        ejectedUntilMillis = nowMillis + pause;
        ejections++;
        onTrial = true;
    }
}
