package org.streamring.standin.model;

import java.time.Duration;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/** Refuses each request that finds no free slot at once; the lower extreme when wait policies are compared. */
final class RefuseAtOnce implements WaitPolicy {
    private static final Duration RETRY_AFTER = Duration.ofMillis(20);

    @Override
    public WaitDecision decide(WaitQuery query) {
        return WaitDecision.refuse(RETRY_AFTER);
    }
}
