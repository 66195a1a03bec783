package org.streamring.standin.model;

import java.time.Duration;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/**
 * A request waits while its turn is forecast within half of its target, and is refused at once otherwise; its caller is
 * told to come back when what is ahead now has its places.
 */
final class ForecastWait implements WaitPolicy {
    /** The other half is for the answer itself. */
    private static final double PART_OF_TARGET = 0.5;

    private static final double LONGEST_RETRY_MILLIS = 2_000;

    @Override
    public WaitDecision decide(WaitQuery query) {
        double turnMillis = (query.ahead() + 1) / Math.max(1e-6, query.freedPerMilli());
        boolean soon = query.waitedMillis() + turnMillis <= query.targetMillis() * PART_OF_TARGET;
        return soon
                ? WaitDecision.WAIT
                : WaitDecision.refuse(Duration.ofMillis((long) Math.min(turnMillis, LONGEST_RETRY_MILLIS)));
    }
}
