package org.streamring.kernel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowOperation.Add;
import org.streamring.kernel.table.RowOperation.Delete;
import org.streamring.kernel.table.RowOperation.Insert;
import org.streamring.kernel.table.RowOperation.Update;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/**
 * Builds the transaction that moves the configuration from version N to N+1.
 *
 * <p>It commits only if the version is still N, so of two racing operators one wins. A repeated transaction finds its
 * own change row, so a lost answer does not apply a change twice.
 */
public final class ConfigTransactions {
    private ConfigTransactions() {}

    /**
     * Builds it.
     *
     * @param change the change; its version is N+1
     * @param versionRow the version row as read; its amount is N. Version 0 stands for an absent row
     * @param currentItems rows of the items that the change replaces or removes, by key
     */
    public static Transaction build(ConfigChange change, Row versionRow, Map<String, Row> currentItems) {
        List<RowOperation> operations = new ArrayList<>();
        operations.add(moveVersion(change, versionRow));
        operations.add(new Insert(RowKeys.change(change.version()), change.epochMillis(), RowText.write(change)));
        change.items().stream()
                .map(item -> itemOperation(item, change.version(), currentItems.get(item.rowKey())))
                .forEach(operations::add);
        change.grants().forEach(grant -> addGrant(grant, operations));
        return new Transaction(change.changeId(), operations);
    }

    private static RowOperation moveVersion(ConfigChange change, Row versionRow) {
        if (versionRow.version() == 0) {
            return new Insert(RowKeys.CONFIG_VERSION, change.version(), change.changeId());
        }
        return new Update(RowKeys.CONFIG_VERSION, versionRow.version(), change.version(), change.changeId());
    }

    private static RowOperation itemOperation(
            ConfigItem item, long version, @org.jspecify.annotations.Nullable Row current) {
        if (current == null) {
            return new Insert(item.rowKey(), version, item.json());
        }
        if (item.removal()) {
            return new Delete(item.rowKey(), current.version());
        }
        return new Update(item.rowKey(), current.version(), version, item.json());
    }

    private static void addGrant(ConfigChange.Grant grant, List<RowOperation> operations) {
        String budget = grant.budget();
        if (grant.created()) {
            operations.add(new Insert(RowKeys.remaining(budget), grant.tokens(), ""));
            operations.add(new Insert(RowKeys.granted(budget), grant.tokens(), ""));
            operations.add(new Insert(RowKeys.settled(budget), 0, ""));
            operations.add(new Insert(RowKeys.held(budget), 0, ""));
            return;
        }
        operations.add(new Add(RowKeys.remaining(budget), grant.tokens(), 0));
        operations.add(new Add(RowKeys.granted(budget), grant.tokens(), 0));
    }
}
