package org.streamring.kernel.placement;

/**
 * Health of one replica, derived from the results of the attempts of this entry: failures lead to an ejection, and a
 * success after it makes the replica fully usable again. Confined to one thread.
 */
final class ReplicaHealth {
    private static final int EJECTION_FAILURES = 3;
    private static final long MIN_EJECTION_MILLIS = 800;
    private static final long MAX_EJECTION_MILLIS = 4_000;
    private static final double FAILURE_RATE_STEP = 0.1;
    private static final double MAX_FAILURE_RATE = 0.5;

    private int consecutiveFailures;
    private double failureRate;
    private int ejections;
    private long ejectedUntilMillis;
    private boolean probing;

    /** Records a successful answer. */
    void succeeded() {
        consecutiveFailures = 0;
        ejections = 0;
        probing = false;
        failureRate -= FAILURE_RATE_STEP * failureRate;
    }

    /** Records an answer that the replica failed to give or gave incorrectly. */
    void failed(long nowMillis) {
        consecutiveFailures++;
        failureRate += FAILURE_RATE_STEP * (1 - failureRate);
        if (probing || consecutiveFailures >= EJECTION_FAILURES || failureRate > MAX_FAILURE_RATE) {
            eject(nowMillis);
        }
    }

    /** Records that the replica cannot be reached or has stopped responding. */
    void unreachable(long nowMillis) {
        consecutiveFailures++;
        eject(nowMillis);
    }

    /**
     * Returns whether the replica may receive a request now; after an ejection, one at a time until one succeeds.
     *
     * @param idle whether no attempt of this entry is in progress at the replica
     */
    boolean usable(long nowMillis, boolean idle) {
        return nowMillis >= ejectedUntilMillis && (!probing || idle);
    }

    private void eject(long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return;
        }
        long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, MIN_EJECTION_MILLIS << Math.min(ejections, 4));
        ejectedUntilMillis = nowMillis + ejectionMillis;
        ejections++;
        probing = true;
    }
}
