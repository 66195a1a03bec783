package org.streamring.direct.feed;

import java.util.Locale;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.store.EraCheckedStore;

/** Logs the eras of the store and the answers that are dropped because of them. */
public final class EraLog implements EraCheckedStore.Listener {
    private final EntryMetrics metrics;
    private final DecisionLog log;

    /** Creates a listener that writes to the given log. */
    public EraLog(EntryMetrics metrics, DecisionLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void eraChanged(long before, long now) {
        log.line("era_changed", "before", before, "era", now);
    }

    @Override
    public void answerDropped(String call, EraCheckedStore.DropReason reason, long answered, long known) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        metrics.storeAnswerDropped(name);
        log.line("store_answer_dropped", "call", call, "reason", name, "era", answered, "known_era", known);
    }
}
