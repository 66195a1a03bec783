package org.streamring.kernel.admission;

import java.time.Duration;

/**
 * Every request waits for the same part of its target, unless no replica will take it by then. The load pattern that
 * it answers: places that are all taken for a moment, by requests that come in clumps.
 */
public final class FixedWindow implements WaitPolicy {
    /** Of the target; what is placed by then can still be in time, and callers who are refused can try elsewhere. */
    static final int WAIT_PARTS = 5;

    /** Places are taken for less than this by plain calls; another entry may have one at once. */
    static final Duration RETRY_AFTER = Duration.ofMillis(250);

    @Override
    public WaitDecision decide(WaitQuery query) {
        long left = query.targetMillis() / WAIT_PARTS - query.waitedMillis();
        long closed = query.closedMillis();
        if (closed > 0 && closed < WaitQuery.NEVER) {
            return closed > left ? WaitDecision.refuse(Duration.ofMillis(closed)) : WaitDecision.WAIT;
        }
        boolean over = closed == WaitQuery.NEVER || left <= 0;
        return over ? WaitDecision.refuse(RETRY_AFTER) : WaitDecision.WAIT;
    }
}
