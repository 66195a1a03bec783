package org.streamring.standin.model;

import java.time.Duration;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/**
 * Lets a request wait if it is forecast to get a slot within half of its target time, and refuses it at once otherwise.
 * The caller of a refused request is asked to retry when the requests ahead of it are forecast to have got their slots.
 */
final class ForecastWait implements WaitPolicy {
    /** The other half is reserved for the answer itself. */
    private static final double MAX_PART_OF_TARGET = 0.5;

    private static final double MAX_RETRY_AFTER_MILLIS = 2_000;

    @Override
    public WaitDecision decide(WaitQuery query) {
        double expectedWaitMillis = (query.ahead() + 1) / Math.max(1e-6, query.slotsReleasedPerMilli());
        boolean withinTarget = query.waitedMillis() + expectedWaitMillis <= query.targetMillis() * MAX_PART_OF_TARGET;
        return withinTarget
                ? WaitDecision.WAIT
                : WaitDecision.refuse(Duration.ofMillis((long) Math.min(expectedWaitMillis, MAX_RETRY_AFTER_MILLIS)));
    }
}
