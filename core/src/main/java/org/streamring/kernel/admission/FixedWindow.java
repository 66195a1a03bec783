package org.streamring.kernel.admission;

import java.time.Duration;

/**
 * Wait policy that lets every request wait for the same fraction of its target time, unless no replica will accept it
 * by then. It is designed for short bursts of requests, during which all slots are occupied for a moment.
 */
public final class FixedWindow implements WaitPolicy {
    /**
     * A request waits for at most one fifth of its target time: if it is placed by then, its answer can still be in
     * time, and if it is refused, its caller has time to try another entry.
     */
    static final int TARGET_DIVISOR = 5;

    /** Plain calls occupy a slot for less than this; another entry may have a free slot immediately. */
    static final Duration RETRY_AFTER = Duration.ofMillis(250);

    @Override
    public WaitDecision decide(WaitQuery query) {
        long remainingMillis = query.targetMillis() / TARGET_DIVISOR - query.waitedMillis();
        long unavailableMillis = query.unavailableMillis();
        if (unavailableMillis > 0 && unavailableMillis < WaitQuery.NEVER) {
            return unavailableMillis > remainingMillis
                    ? WaitDecision.refuse(Duration.ofMillis(unavailableMillis))
                    : WaitDecision.WAIT;
        }
        boolean refused = unavailableMillis == WaitQuery.NEVER || remainingMillis <= 0;
        return refused ? WaitDecision.refuse(RETRY_AFTER) : WaitDecision.WAIT;
    }
}
