package org.streamring.standin.model;

import java.time.Duration;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/** Nothing waits: the other end of what can be compared. */
final class RefuseAtOnce implements WaitPolicy {
    private static final Duration RETRY_AFTER = Duration.ofMillis(20);

    @Override
    public WaitDecision decide(WaitQuery query) {
        return WaitDecision.refuse(RETRY_AFTER);
    }
}
