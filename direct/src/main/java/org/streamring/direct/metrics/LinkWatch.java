package org.streamring.direct.metrics;

import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.admission.LinkPace;
import org.streamring.kernel.admission.LinkPace.Traffic;

/** Logs when the link of this box is full, and what filled it. Confined to the event loop. */
public final class LinkWatch {
    /** Requests are held back from here on. */
    private static final long FULL_MILLIS = LinkPace.MOST_QUEUED_MILLIS;

    private static final long SPELL_MILLIS = 1_000;

    private final LinkPace link;
    private final LongSupplier clock;
    private final DecisionLog log;
    private Totals before = new Totals(0, 0, 0);
    private long beforeMillis;
    private boolean full;

    private record Totals(long requests, long answers, long reports) {}

    /** Creates one. */
    public LinkWatch(LinkPace link, LongSupplier clock, DecisionLog log) {
        this.link = link;
        this.clock = clock;
        this.log = log;
    }

    /** To be called several times a second. */
    void look() {
        long now = clock.getAsLong();
        boolean fullNow = link.queuedMillis(now) > FULL_MILLIS;
        if (fullNow != full) {
            full = fullNow;
            log(now);
        }
        if (now - beforeMillis > SPELL_MILLIS) {
            before = totals();
            beforeMillis = now;
        }
    }

    private Totals totals() {
        return new Totals(link.bytes(Traffic.REQUESTS), link.bytes(Traffic.ANSWERS), link.bytes(Traffic.REPORTS));
    }

    private void log(long now) {
        Totals totals = totals();
        log.line(
                full ? "link_full" : "link_free",
                "queued_ms",
                link.queuedMillis(now),
                "since_ms",
                now - beforeMillis,
                "requests_bytes",
                totals.requests() - before.requests(),
                "answers_bytes",
                totals.answers() - before.answers(),
                "reports_bytes",
                totals.reports() - before.reports());
    }
}
