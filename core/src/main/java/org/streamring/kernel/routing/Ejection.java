package org.streamring.kernel.routing;

import java.time.Duration;

/**
 * Ejection of one replica after repeated failures. The replica is ejected for a period that doubles with each further
 * failure. It then gets one trial attempt at a time until one is served, and afterwards its share of the requests grows
 * gradually. Guarded by the lock of {@link ReplicaTable}.
 */
final class Ejection {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MILLIS = Duration.ofSeconds(2).toMillis();
    private static final long LONGEST_EJECTION_MILLIS = Duration.ofSeconds(60).toMillis();
    private static final double RAMP_UP_MILLIS = Duration.ofSeconds(10).toMillis();
    /** Factor applied to the cost of a replica at the moment it is readmitted. */
    private static final double INITIAL_COST_FACTOR = 4;

    private int consecutiveFailures;
    private long ejectedUntilMillis;
    private long ejectionMillis;
    private long readmittedMillis;
    private boolean rampingUp;
    private boolean trialRunning;

    private boolean failureLimitReached() {
        return consecutiveFailures >= FAILURES_TO_EJECT;
    }

    void started() {
        trialRunning = failureLimitReached();
    }

    void ended(AttemptResult result, long nowMillis) {
        trialRunning = false;
        if (result == AttemptResult.FAILED) {
            failed(nowMillis);
        } else if (result == AttemptResult.SERVED) {
            served(nowMillis);
        }
    }

    private void failed(long nowMillis) {
        consecutiveFailures++;
        if (failureLimitReached()) {
            ejectionMillis = Math.min(LONGEST_EJECTION_MILLIS, Math.max(FIRST_EJECTION_MILLIS, 2 * ejectionMillis));
            ejectedUntilMillis = nowMillis + ejectionMillis;
        }
    }

    private void served(long nowMillis) {
        if (failureLimitReached()) {
            rampingUp = true;
            readmittedMillis = nowMillis;
        }
        consecutiveFailures = 0;
        ejectionMillis = 0;
    }

    /** Returns whether no attempt may be started now. */
    boolean ejected(long nowMillis) {
        return failureLimitReached() && (nowMillis < ejectedUntilMillis || trialRunning);
    }

    /**
     * Returns the factor by which the cost of the replica is raised after it was readmitted; 1 if it is not recovering.
     */
    double rampUpFactor(long nowMillis) {
        double remainingRampUp = 1 - (nowMillis - readmittedMillis) / RAMP_UP_MILLIS;
        return rampingUp && remainingRampUp > 0 ? 1 + (INITIAL_COST_FACTOR - 1) * remainingRampUp : 1;
    }
}
