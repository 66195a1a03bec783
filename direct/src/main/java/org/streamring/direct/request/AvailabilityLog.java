package org.streamring.direct.request;

import java.util.Locale;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.availability.AvailabilityEvents;
import org.streamring.kernel.availability.NoticeSource;

/** Logs changes of the availability that backend servers announce for themselves. */
public final class AvailabilityLog implements AvailabilityEvents {
    private final DecisionLog log;

    /** Creates a listener that writes to a log. */
    public AvailabilityLog(DecisionLog log) {
        this.log = log;
    }

    @Override
    public void leaving(String incarnation, NoticeSource source) {
        log.line("backend_leaves", "backend", incarnation, "by", source.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void backOffStarted(String incarnation, long backOffMillis) {
        log.line("backend_rests", "backend", incarnation, "rest_ms", backOffMillis);
    }

    @Override
    public void backOffEnded(String incarnation) {
        log.line("backend_rested", "backend", incarnation);
    }
}
