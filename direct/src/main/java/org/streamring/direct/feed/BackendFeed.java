package org.streamring.direct.feed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.store.StoredRow;
import org.streamring.platform.node.MalformedRowException;
import org.streamring.platform.node.OperatorRows;

/** Updates the registry of backend servers from their table in the store. Confined to the event loop. */
public final class BackendFeed implements TableWatch.Listener {
    /** Servers removed in some minutes even if hundreds of them are replaced. */
    private static final int MAX_REMOVED = 10_000;

    private final OperatorRows rows;
    private final BackendRegistry registry;
    private final ColdReplicas cold;
    private final PlacementTable placement;
    private final LongSupplier clock;
    private final DecisionLog log;
    /** Servers whose rows were removed, which a restored store may list again. */
    private final Set<String> removed = new HashSet<>();

    private boolean loaded;

    /**
     * Creates a feed.
     *
     * @param registry receives the listed backend servers
     * @param cold receives how long each backend server is still cold
     * @param placement receives which process is listed under the identifier of a backend server
     */
    public BackendFeed(
            OperatorRows rows,
            BackendRegistry registry,
            ColdReplicas cold,
            PlacementTable placement,
            LongSupplier clock,
            DecisionLog log) {
        this.rows = rows;
        this.registry = registry;
        this.cold = cold;
        this.placement = placement;
        this.clock = clock;
        this.log = log;
    }

    /** Returns whether the table has been read at least once. */
    public boolean loaded() {
        return loaded;
    }

    @Override
    public void onList(List<StoredRow> list) {
        loaded = true;
        removed.clear();
        List<BackendInstance> instances = new ArrayList<>();
        List<String> malformed = new ArrayList<>();
        for (StoredRow row : list) {
            read(row)
                    .ifPresentOrElse(
                            instances::add, () -> malformed.add(row.key().key()));
        }
        instances.forEach(this::recordInstance);
        registry.replaceAll(instances, clock.getAsLong());
        malformed.forEach(registry::drop);
        log.line("backends_listed", "count", instances.size(), "unreadable", malformed.size());
    }

    /**
     * Keeps servers whose rows are missing, and ignores rows of servers that were removed and of earlier processes of
     * servers that were restarted.
     */
    @Override
    public void onRestoredList(List<StoredRow> list) {
        List<StoredRow> current = list.stream().filter(row -> !isOutdated(row)).toList();
        current.forEach(this::onChange);
        log.line("backends_restored", "count", current.size(), "outdated", list.size() - current.size());
    }

    private boolean isOutdated(StoredRow row) {
        String id = row.key().key();
        long knownStart = registry.find(id).map(BackendInstance::startedMillis).orElse(Long.MIN_VALUE);
        return removed.contains(id)
                || read(row)
                        .filter(listed -> listed.startedMillis() < knownStart)
                        .isPresent();
    }

    @Override
    public void onChange(StoredRow row) {
        if (row.removed()) {
            noteRemoved(row.key().key());
            registry.remove(row.key().key(), clock.getAsLong());
            log.line("backend_gone", "backend", row.key().key(), "version", row.version());
            return;
        }
        read(row)
                .ifPresentOrElse(
                        instance -> put(instance, row.version()),
                        () -> registry.drop(row.key().key()));
    }

    private void noteRemoved(String id) {
        if (removed.size() >= MAX_REMOVED) {
            removed.clear();
        }
        removed.add(id);
    }

    private void recordInstance(BackendInstance instance) {
        placement.listed(instance);
        cold.recordCold(instance.id(), instance.coldMillis(), clock.getAsLong());
    }

    private void put(BackendInstance instance, long version) {
        removed.remove(instance.id());
        recordInstance(instance);
        registry.put(instance, clock.getAsLong());
        log.line(
                "backend_changed",
                "backend",
                instance.id(),
                "service",
                instance.service(),
                "ready",
                instance.ready(),
                "cold_ms",
                instance.coldMillis(),
                "born",
                instance.startedMillis(),
                "software",
                instance.softwareVersion(),
                "version",
                version);
    }

    private Optional<BackendInstance> read(StoredRow row) {
        try {
            return Optional.of(rows.backend(row));
        } catch (MalformedRowException e) {
            log.line(
                    "backend_unreadable",
                    "backend",
                    row.key().key(),
                    "version",
                    row.version(),
                    "reason",
                    e.getMessage());
            return Optional.empty();
        }
    }

    @Override
    public void onUnreachable(String reason) {
        registry.setListUnavailable();
    }

    @Override
    public void onReachable() {
        registry.listRestored(clock.getAsLong());
    }
}
