package org.streamring.direct.feed;

import java.util.List;
import java.util.Optional;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.platform.node.MalformedRowException;
import org.streamring.platform.node.OperatorRows;

/** Holds the newest configuration; it is never replaced by an older version. Confined to the event loop. */
public final class ConfigurationFeed implements TableWatch.Listener {
    private final OperatorRows rows;
    private final DecisionLog log;
    private final Runnable changed;
    private Optional<RouteTable> inForce = Optional.empty();

    /**
     * Creates a feed without a configuration.
     *
     * @param changed called after each change of the configuration
     */
    public ConfigurationFeed(OperatorRows rows, DecisionLog log, Runnable changed) {
        this.rows = rows;
        this.log = log;
        this.changed = changed;
    }

    /** Returns the configuration in force; empty until one has been read. */
    public Optional<RouteTable> inForce() {
        return inForce;
    }

    @Override
    public void onList(List<StoredRow> list) {
        list.forEach(this::onChange);
    }

    @Override
    public void onChange(StoredRow row) {
        if (row.removed()) {
            return;
        }
        try {
            rows.configuration(row).ifPresent(this::apply);
        } catch (MalformedRowException e) {
            log.line("configuration_unreadable", "version", row.version(), "reason", e.getMessage());
        }
    }

    private void apply(RoutingConfiguration configuration) {
        long currentVersion = inForce.map(RouteTable::version).orElse(Long.MIN_VALUE);
        if (configuration.version() <= currentVersion) {
            return;
        }
        inForce = Optional.of(new RouteTable(configuration));
        log.line(
                "configuration_in_force",
                "config",
                configuration.version(),
                "before",
                currentVersion,
                "routes",
                configuration.routes().size(),
                "accounts",
                configuration.accounts().size());
        changed.run();
    }
}
