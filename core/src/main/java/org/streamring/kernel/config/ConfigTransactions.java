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
 * <p>The transaction commits only if the version is still N, so that of two concurrent changes only one is applied. A
 * repeated transaction fails because its change row already exists, so that a change is not applied twice after a lost
 * answer.
 */
public final class ConfigTransactions {
    private ConfigTransactions() {}

    /**
     * Builds the transaction.
     *
     * @param change change with version N+1
     * @param versionRow version row as read, whose amount is N; a row with version 0 stands for a missing row
     * @param currentItems rows of the items that the change replaces or removes, by key
     */
    public static Transaction build(ConfigChange change, Row versionRow, Map<String, Row> currentItems) {
        List<RowOperation> operations = new ArrayList<>();
        operations.add(advanceVersion(change, versionRow));
        operations.add(new Insert(RowKeys.change(change.version()), change.epochMillis(), RowText.write(change)));
        change.items().stream()
                .map(item -> itemOperation(item, change.version(), currentItems.get(item.rowKey())))
                .forEach(operations::add);
        change.grants().forEach(grant -> addGrant(grant, operations));
        return new Transaction(change.changeId(), operations);
    }

    private static RowOperation advanceVersion(ConfigChange change, Row versionRow) {
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
