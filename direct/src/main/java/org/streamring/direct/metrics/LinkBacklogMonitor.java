package org.streamring.direct.metrics;

import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.admission.LinkBacklog.Traffic;

/** Logs when this box's network link becomes full or free and which traffic filled it. Confined to the event loop. */
public final class LinkBacklogMonitor {
    /** Above this queueing time, requests are held back. */
    private static final long FULL_MILLIS = LinkBacklog.MAX_QUEUED_MILLIS;

    private static final long INTERVAL_MILLIS = 1_000;

    private final LinkBacklog link;
    private final LongSupplier clock;
    private final DecisionLog log;
    private ByteTotals intervalStart = new ByteTotals(0, 0, 0);
    private long intervalStartMillis;
    private boolean full;

    private record ByteTotals(long requests, long answers, long reports) {}

    /** Creates a monitor of the link. */
    public LinkBacklogMonitor(LinkBacklog link, LongSupplier clock, DecisionLog log) {
        this.link = link;
        this.clock = clock;
        this.log = log;
    }

    /** Compares the queue of the link with the limit; to be called several times a second. */
    void check() {
        long now = clock.getAsLong();
        boolean fullNow = link.queuedMillis(now) > FULL_MILLIS;
        if (fullNow != full) {
            full = fullNow;
            log(now);
        }
        if (now - intervalStartMillis > INTERVAL_MILLIS) {
            intervalStart = totals();
            intervalStartMillis = now;
        }
    }

    private ByteTotals totals() {
        return new ByteTotals(link.bytes(Traffic.REQUESTS), link.bytes(Traffic.ANSWERS), link.bytes(Traffic.REPORTS));
    }

    private void log(long now) {
        ByteTotals totals = totals();
        log.line(
                full ? "link_full" : "link_free",
                "queued_ms",
                link.queuedMillis(now),
                "since_ms",
                now - intervalStartMillis,
                "requests_bytes",
                totals.requests() - intervalStart.requests(),
                "answers_bytes",
                totals.answers() - intervalStart.answers(),
                "reports_bytes",
                totals.reports() - intervalStart.reports());
    }
}
