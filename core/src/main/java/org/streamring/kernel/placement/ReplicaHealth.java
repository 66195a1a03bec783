package org.streamring.kernel.placement;

import org.jspecify.annotations.Nullable;

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
    private @Nullable Standing beforeSilence;

    private record Standing(int consecutiveFailures, int ejections, long ejectedUntilMillis, boolean probing) {}

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

    /** Records that an attempt found the replica silent, until it is {@link #heard} again. */
    void silent(long nowMillis) {
        if (beforeSilence == null) {
            beforeSilence = new Standing(consecutiveFailures, ejections, ejectedUntilMillis, probing);
            consecutiveFailures++;
        }
        eject(nowMillis);
    }

    /** Records that something arrived from the replica: its silence no longer counts. */
    void heard() {
        Standing before = beforeSilence;
        if (before != null) {
            beforeSilence = null;
            consecutiveFailures = before.consecutiveFailures();
            ejections = before.ejections();
            ejectedUntilMillis = before.ejectedUntilMillis();
            probing = before.probing();
        }
    }

    /** Records that the replica cannot be reached. */
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
