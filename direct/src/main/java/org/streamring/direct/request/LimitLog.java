package org.streamring.direct.request;

import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.permit.LimitEvents;

/** Logs the limits that backend servers announce for all entries together. */
public final class LimitLog implements LimitEvents {
    private final DecisionLog log;
    private final EntryMetrics metrics;

    /** Creates a listener that writes to a log and counts unreadable limits. */
    public LimitLog(DecisionLog log, EntryMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void limited(String incarnation, double perSecond, String byEntry) {
        String by = byEntry.isEmpty() ? "answer" : byEntry;
        log.line("backend_limited", "backend", incarnation, "per_second", perSecond, "by", by);
    }

    @Override
    public void unlimited(String incarnation, long sentAgeMillis) {
        log.line("backend_unlimited", "backend", incarnation, "age_ms", sentAgeMillis);
    }

    @Override
    public void unreadable(String incarnation, boolean first) {
        metrics.limitUnreadable();
        if (first) {
            log.line("backend_limit_unreadable", "backend", incarnation);
        }
    }
}
