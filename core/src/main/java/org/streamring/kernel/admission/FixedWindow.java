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
        if (query.closedMillis() == WaitQuery.NEVER) {
            return WaitDecision.refuse(RETRY_AFTER);
        }
        if (query.closedMillis() > left) {
            return WaitDecision.refuse(Duration.ofMillis(query.closedMillis()));
        }
        return left <= 0 ? WaitDecision.refuse(RETRY_AFTER) : WaitDecision.WAIT;
    }
}
