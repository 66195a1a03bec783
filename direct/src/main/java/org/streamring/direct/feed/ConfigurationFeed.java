package org.streamring.direct.feed;

import java.util.List;
import java.util.Optional;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.platform.node.MalformedRowException;
import org.streamring.platform.node.OperatorRows;

/** Keeps the newest configuration; a version never gives way to an older one. Confined to the event loop. */
public final class ConfigurationFeed implements TableWatch.Listener {
    private final OperatorRows rows;
    private final DecisionLog log;
    private final Runnable changed;
    private Optional<RouteTable> inForce = Optional.empty();

    /**
     * Creates one that knows no configuration.
     *
     * @param changed called after each change
     */
    public ConfigurationFeed(OperatorRows rows, DecisionLog log, Runnable changed) {
        this.rows = rows;
        this.log = log;
        this.changed = changed;
    }

    /** The configuration in force; empty until one is known. */
    public Optional<RouteTable> inForce() {
        return inForce;
    }

    @Override
    public void listed(List<StoredRow> list) {
        list.forEach(this::changed);
    }

    @Override
    public void changed(StoredRow row) {
        if (row.removed()) {
            return;
        }
        try {
            rows.configuration(row).ifPresent(this::take);
        } catch (MalformedRowException e) {
            log.line("configuration_unreadable", "version", row.version(), "reason", e.getMessage());
        }
    }

    private void take(RoutingConfiguration configuration) {
        long known = inForce.map(RouteTable::version).orElse(Long.MIN_VALUE);
        if (configuration.version() <= known) {
            return;
        }
        inForce = Optional.of(new RouteTable(configuration));
        log.line(
                "configuration_in_force",
                "config",
                configuration.version(),
                "before",
                known,
                "routes",
                configuration.routes().size(),
                "accounts",
                configuration.accounts().size());
        changed.run();
    }
}
