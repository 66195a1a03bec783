package org.streamring.direct.request;

import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.metrics.EntryMetrics;

/** Logs and counts what happens to the silent attempts of one request. Confined to the event loop. */
final class SilenceReport {
    private final RequestLog log;
    private final EntryMetrics metrics;
    private final AttemptHistory attempts;
    private final LongSupplier elapsed;
    private SilentAttempt.@Nullable Lack keptFor;

    /**
     * Creates a report without a silent attempt.
     *
     * @param elapsed milliseconds since the arrival of the request
     */
    SilenceReport(RequestLog log, EntryMetrics metrics, AttemptHistory attempts, LongSupplier elapsed) {
        this.log = log;
        this.metrics = metrics;
        this.attempts = attempts;
        this.elapsed = elapsed;
    }

    /** Reports that an attempt goes on because another one lacks something, unless that was reported last. */
    void kept(SilentAttempt silent, SilentAttempt.Lack lack) {
        if (lack != keptFor && lack != SilentAttempt.Lack.NOTHING) {
            keptFor = lack;
            report("kept", silent, lack);
        }
    }

    /** Whether it was reported that the attempt in progress goes on. */
    boolean reportedAsKept() {
        return keptFor != null;
    }

    void heardAgain(SilentAttempt silent) {
        ended("heard_again", silent);
    }

    void replaced(SilentAttempt silent) {
        ended("replaced", silent);
    }

    private void ended(String decision, SilentAttempt silent) {
        keptFor = null;
        report(decision, silent, SilentAttempt.Lack.NOTHING);
    }

    private void report(String decision, SilentAttempt silent, SilentAttempt.Lack lack) {
        log.attemptSilent("silent_attempt_" + decision, silent, lack, attempts.lastReplicaId(), elapsed.getAsLong());
        metrics.attemptSilent(decision, lack.text());
    }
}
