package org.streamring.direct.feed;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.store.StoredRow;
import org.streamring.platform.node.OperatorRows;

/**
 * Passes the failure domains that the operator has evacuated to the registry. During a store outage, the last state
 * read remains in force. Confined to the event loop.
 */
public final class EvacuationFeed implements TableWatch.Listener {
    private final OperatorRows rows;
    private final BackendRegistry registry;
    private final DecisionLog log;
    private final Set<String> evacuated = new TreeSet<>();
    /** Failure domains whose evacuation has ended, which a restored store may list again. */
    private final Set<String> ended = new TreeSet<>();

    /** Creates a feed without evacuated failure domains. */
    public EvacuationFeed(OperatorRows rows, BackendRegistry registry, DecisionLog log) {
        this.rows = rows;
        this.registry = registry;
        this.log = log;
    }

    @Override
    public void onList(List<StoredRow> list) {
        Set<String> restored = new TreeSet<>(evacuated);
        list.forEach(row -> rows.evacuated(row).ifPresent(restored::remove));
        restored.forEach(domain -> restore(domain, "not_listed"));
        list.forEach(this::onChange);
    }

    /** Keeps evacuations whose rows are missing, and ignores rows of those that have ended. */
    @Override
    public void onRestoredList(List<StoredRow> list) {
        list.stream()
                .filter(row -> rows.evacuated(row).filter(ended::contains).isEmpty())
                .forEach(this::onChange);
    }

    @Override
    public void onChange(StoredRow row) {
        rows.evacuated(row).ifPresent(domain -> {
            if (row.removed()) {
                restore(domain, "removed_by_" + row.version());
            } else {
                evacuate(domain, row.version());
            }
        });
    }

    private void evacuate(String domain, long version) {
        ended.remove(domain);
        if (evacuated.add(domain)) {
            registry.evacuated(evacuated);
            log.line("domain_evacuated", "domain", domain, "version", version);
        }
    }

    private void restore(String domain, String cause) {
        ended.add(domain);
        if (evacuated.remove(domain)) {
            registry.evacuated(evacuated);
            log.line("domain_restored", "domain", domain, "cause", cause);
        }
    }
}
