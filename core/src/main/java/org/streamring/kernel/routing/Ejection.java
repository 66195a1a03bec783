package org.streamring.kernel.routing;

import java.time.Duration;

/**
 * Whether one replica is kept out because it failed, and how it comes back: after a time that doubles, one attempt at a
 * time until one is served, and then with a share that grows slowly. Guarded by {@link ReplicaTable}.
 */
final class Ejection {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_MILLIS = Duration.ofSeconds(2).toMillis();
    private static final long LONGEST_MILLIS = Duration.ofSeconds(60).toMillis();
    private static final double RETURN_MILLIS = Duration.ofSeconds(10).toMillis();
    /** How much costlier a replica counts at the moment of its return. */
    private static final double FIRST_RETURN_FACTOR = 4;

    private int failuresInRow;
    private long untilMillis;
    private long lengthMillis;
    private long returnedMillis;
    private boolean returning;
    private boolean trial;

    private boolean recovering() {
        return failuresInRow >= FAILURES_TO_EJECT;
    }

    void started() {
        trial = recovering();
    }

    void ended(AttemptResult result, long nowMillis) {
        trial = false;
        if (result == AttemptResult.FAILED) {
            failed(nowMillis);
        } else if (result == AttemptResult.SERVED) {
            served(nowMillis);
        }
    }

    private void failed(long nowMillis) {
        failuresInRow++;
        if (recovering()) {
            lengthMillis = Math.min(LONGEST_MILLIS, Math.max(FIRST_MILLIS, 2 * lengthMillis));
            untilMillis = nowMillis + lengthMillis;
        }
    }

    private void served(long nowMillis) {
        if (recovering()) {
            returning = true;
            returnedMillis = nowMillis;
        }
        failuresInRow = 0;
        lengthMillis = 0;
    }

    /** Whether no attempt may start now. */
    boolean ejected(long nowMillis) {
        return recovering() && (nowMillis < untilMillis || trial);
    }

    /** By how much its cost is raised after its return; 1 if it is not on its way back. */
    double returnFactor(long nowMillis) {
        double left = 1 - (nowMillis - returnedMillis) / RETURN_MILLIS;
        return returning && left > 0 ? 1 + (FIRST_RETURN_FACTOR - 1) * left : 1;
    }
}
