package org.streamring.direct.feed;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.store.StoreView;

/** Logs when the view of a table gets out of date and when it is current again. Confined to the event loop. */
public final class ViewAgeLog {
    /** Time that the store may take to answer a call for changes, beyond the wait of the call. */
    private static final long ANSWER_MARGIN_MILLIS = 900;

    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final Map<String, WatchedView> views = new LinkedHashMap<>();
    private final Set<String> outOfDate = new HashSet<>();

    private record WatchedView(StoreView view, long maxAgeMillis) {}

    /** Creates a log without views. */
    public ViewAgeLog(LongSupplier clock, EntryMetrics metrics, DecisionLog log) {
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Adds a view, whose age is also exposed as a metric.
     *
     * @param by name under which the view is logged
     * @param wait longest wait of a call for changes of the table
     */
    public void add(String by, StoreView view, Duration wait) {
        views.put(by, new WatchedView(view, wait.toMillis() + ANSWER_MARGIN_MILLIS));
        metrics.gauge("store.view.age.ms", "view", by, () -> view.ageMillis(clock.getAsLong()));
    }

    /** Logs the views that changed between current and out of date since the last call. */
    public void check() {
        views.forEach(this::check);
    }

    private void check(String by, WatchedView watched) {
        long age = watched.view().ageMillis(clock.getAsLong());
        if (age > watched.maxAgeMillis() && outOfDate.add(by)) {
            line("view_out_of_date", by, watched.view(), age);
        } else if (age <= watched.maxAgeMillis() && outOfDate.remove(by)) {
            line("view_current", by, watched.view(), age);
        }
    }

    private void line(String event, String by, StoreView view, long age) {
        log.line(
                event,
                "by",
                by,
                "age_ms",
                age,
                "era",
                view.position().era(),
                "version",
                view.position().version());
    }
}
