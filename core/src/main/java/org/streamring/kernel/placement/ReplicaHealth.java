package org.streamring.kernel.placement;

/**
 * Health of one replica, judged by the results of this entry's own attempts: one that fails counts against it, one
 * that succeeds restores it. Confined to one thread.
 */
final class ReplicaHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MILLIS = 800;
    private static final long LONGEST_EJECTION_MILLIS = 4_000;
    private static final double FAILURE_WEIGHT = 0.1;
    private static final double FAILING_PART = 0.5;

    private int consecutiveFailures;
    private double failingPart;
    private int ejections;
    private long ejectedUntilMillis;
    private boolean onTrial;

    /** Notes a sound answer. */
    void succeeded() {
        consecutiveFailures = 0;
        ejections = 0;
        onTrial = false;
        failingPart -= FAILURE_WEIGHT * failingPart;
    }

    /** Notes an answer that the replica spoiled, or that never came. */
    void failed(long nowMillis) {
        consecutiveFailures++;
        failingPart += FAILURE_WEIGHT * (1 - failingPart);
        if (onTrial || consecutiveFailures >= FAILURES_TO_EJECT || failingPart > FAILING_PART) {
            eject(nowMillis);
        }
    }

    /** Notes that the replica can't be reached, or is silent. */
    void unreachable(long nowMillis) {
        consecutiveFailures++;
        eject(nowMillis);
    }

    /** Whether the replica may get a request now; after an ejection one at a time until one succeeds. */
    boolean usable(long nowMillis, boolean idle) {
        return nowMillis >= ejectedUntilMillis && (!onTrial || idle);
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
