package org.streamring.entry.config;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.ConfigurationHolder;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;

/**
 * Reads the configuration from the table. A poll without changes takes one read; with changes, one more for the missing
 * changes. A full copy is read at the start, or if the table no longer has all missing changes.
 */
public final class ConfigurationPoller {
    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationPoller.class);
    private static final int PAGE_ROWS = 500;

    private final PlatformTable table;
    private final ConfigurationHolder holder;

    /** Creates a poller. */
    public ConfigurationPoller(PlatformTable table, ConfigurationHolder holder) {
        this.table = table;
        this.holder = holder;
    }

    /** Polls the table once. */
    public void poll() throws PlatformException {
        long newest = newestVersion();
        long current = holder.current().version();
        if (newest <= current) {
            return;
        }
        boolean complete = current > 0 && readChanges(current, newest);
        if (!complete) {
            readFullCopy();
        }
        LOGGER.info("configuration_in_force version={}", holder.current().version());
    }

    private long newestVersion() throws PlatformException {
        List<Row> rows = table.read(List.of(RowKeys.CONFIG_VERSION));
        return rows.isEmpty() ? 0 : rows.get(0).amount();
    }

    private boolean readChanges(long current, long newest) throws PlatformException {
        List<Row> rows = table.scan(RowKeys.CHANGES, RowKeys.change(current), PAGE_ROWS);
        List<ConfigChange> changes = rows.stream()
                .map(row -> RowText.read(row.text(), ConfigChange.class))
                .toList();
        boolean gap = holder.applyChanges(changes).isPresent();
        return !gap && holder.current().version() >= newest;
    }

    /** Reads a full copy. The copy is used only if the version did not change while it was read. */
    private void readFullCopy() throws PlatformException {
        long before = newestVersion();
        List<ConfigItem> items = new ArrayList<>();
        String after = "";
        List<Row> page;
        do {
            page = table.scan(RowKeys.ITEMS, after, PAGE_ROWS);
            page.forEach(row -> items.add(toItem(row)));
            after = page.isEmpty() ? after : page.get(page.size() - 1).key();
        } while (page.size() == PAGE_ROWS);
        if (newestVersion() == before) {
            holder.applyFull(before, items);
        }
    }

    private static ConfigItem toItem(Row row) {
        String path = row.key().substring(RowKeys.ITEMS.length());
        int slash = path.indexOf('/');
        return new ConfigItem(path.substring(0, slash), path.substring(slash + 1), row.text());
    }
}
