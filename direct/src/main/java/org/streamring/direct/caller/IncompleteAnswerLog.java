package org.streamring.direct.caller;

import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;

/** Logs and counts incomplete answers, beside the changes that are planned for this entry. */
public final class IncompleteAnswerLog implements IncompleteAnswer.Listener {
    private final LongSupplier clock;
    private final LongSupplier configurationVersion;
    private final LongSupplier millisSinceStop;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private long configurationChangedMillis;

    /**
     * Creates a log.
     *
     * @param configurationVersion returns the version in force; -1 if there is none
     * @param millisSinceStop returns the time since the entry was asked to stop; -1 if it was not
     */
    public IncompleteAnswerLog(
            LongSupplier clock,
            LongSupplier configurationVersion,
            LongSupplier millisSinceStop,
            EntryMetrics metrics,
            DecisionLog log) {
        this.clock = clock;
        this.configurationVersion = configurationVersion;
        this.millisSinceStop = millisSinceStop;
        this.metrics = metrics;
        this.log = log;
    }

    /** Called after each change of the configuration. */
    public void configurationChanged() {
        configurationChangedMillis = clock.getAsLong();
    }

    @Override
    public void answerIncomplete(IncompleteAnswer incomplete) {
        metrics.answerIncomplete(incomplete.reason().name());
        log.line(
                "answer_incomplete",
                "request",
                incomplete.requestId(),
                "reason",
                incomplete.reason(),
                "detail",
                incomplete.detail(),
                "read_whole",
                incomplete.whole(),
                "served",
                incomplete.served(),
                "attempts",
                incomplete.progress().attempts(),
                "replica",
                incomplete.progress().replica(),
                "writes",
                incomplete.writes(),
                "bytes",
                incomplete.bytes(),
                "config",
                configurationVersion.getAsLong(),
                "config_age_ms",
                clock.getAsLong() - configurationChangedMillis,
                "stopping_ms",
                millisSinceStop.getAsLong());
    }
}
