package org.streamring.direct.request;

import java.util.function.LongSupplier;
import org.streamring.kernel.admission.RequestLiveness;

/** Whether a request may be sent again while an attempt is in progress. Confined to the event loop. */
final class NextAttemptCheck {
    private final LongSupplier clock;
    private final RequestPlan plan;
    private final AttemptHistory attempts;
    private final CrashSuspectGuard.Watched suspect;
    private final RequestLiveness liveness;
    private final LinkUsage linkUsage;

    NextAttemptCheck(
            LongSupplier clock,
            RequestPlan plan,
            AttemptHistory attempts,
            CrashSuspectGuard.Watched suspect,
            RequestLiveness liveness,
            LinkUsage linkUsage) {
        this.clock = clock;
        this.plan = plan;
        this.attempts = attempts;
        this.suspect = suspect;
        this.liveness = liveness;
        this.linkUsage = linkUsage;
    }

    /** Returns what another attempt lacks, apart from a retry, tokens and a replica. */
    SilentAttempt.Lack lack() {
        if (attempts.attempts() + 1 >= plan.route().maxAttempts()) {
            return SilentAttempt.Lack.ATTEMPTS;
        }
        if (!liveness.hasTime(clock.getAsLong())) {
            return SilentAttempt.Lack.TIME;
        }
        if (!suspect.maySendAgain()) {
            return SilentAttempt.Lack.PERMISSION;
        }
        return linkUsage.closedMillis() > 0 ? SilentAttempt.Lack.LINK : SilentAttempt.Lack.NOTHING;
    }
}
