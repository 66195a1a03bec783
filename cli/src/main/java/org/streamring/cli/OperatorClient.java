package org.streamring.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.ConfigTransactions;
import org.streamring.kernel.config.DeclarationItems;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.kernel.table.TransactionResult.Rejected;
import org.streamring.model.declaration.Declarations;

/**
 * Reads and changes the configuration. Each change is one transaction, which increments the version and writes an audit
 * row. If the response to a transaction is lost, the identifier in the audit row shows whether the change was applied.
 */
public final class OperatorClient {
    private static final int PAGE_ROWS = 500;
    private static final int MAX_ATTEMPTS = 10;
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final PlatformTable table;
    private final String author;

    /**
     * Creates a client.
     *
     * @param table table that holds the configuration
     * @param author author of the changes in the audit trail
     */
    public OperatorClient(PlatformTable table, String author) {
        this.table = table;
        this.author = author;
    }

    /**
     * The configuration at one version.
     *
     * @param versionRow row with the version as its amount, which is 0 if no change was ever applied
     * @param items rows of the configuration items, by key
     */
    public record State(Row versionRow, Map<String, Row> items) {
        /** Returns the version of the configuration. */
        public long version() {
            return versionRow.amount();
        }

        /** Returns the declarations of the configuration. */
        public Declarations declarations() {
            return DeclarationItems.join(
                    items.values().stream().map(OperatorClient::item).toList());
        }
    }

    /**
     * The content of a change.
     *
     * @param action name of the action in the audit trail
     * @param items items to set or remove
     * @param grants tokens to grant
     * @param further additional operations of the same transaction
     */
    public record Wanted(
            String action, List<ConfigItem> items, List<ConfigChange.Grant> grants, List<RowOperation> further) {
        /** Makes unmodifiable copies of the lists. */
        public Wanted {
            items = List.copyOf(items);
            grants = List.copyOf(grants);
            further = List.copyOf(further);
        }
    }

    /** The outcome of a change. */
    public sealed interface Outcome {
        /** The change was applied and created this version. */
        record Applied(long version) implements Outcome {}

        /** Another change was applied first; the configuration is at the given version. */
        record Conflict(long version, String changedBy) implements Outcome {}

        /** A condition of the change other than the version does not hold. */
        record Impossible(String reason) implements Outcome {}
    }

    /** Reads the configuration at one version. Repeats the read if a change was applied meanwhile. */
    public State state() throws PlatformException {
        while (true) {
            Row before = versionRow();
            Map<String, Row> items = new HashMap<>();
            scan(RowKeys.ITEMS, "").forEach(row -> items.put(row.key(), row));
            if (versionRow().version() == before.version()) {
                return new State(before, items);
            }
        }
    }

    private Row versionRow() throws PlatformException {
        List<Row> rows = table.read(List.of(RowKeys.CONFIG_VERSION));
        return rows.isEmpty() ? new Row(RowKeys.CONFIG_VERSION, 0, 0, "") : rows.get(0);
    }

    /** Returns all rows whose key has the prefix and follows the given key. */
    public List<Row> scan(String prefix, String afterKey) throws PlatformException {
        List<Row> rows = new ArrayList<>();
        String after = afterKey;
        List<Row> page;
        do {
            page = table.scan(prefix, after, PAGE_ROWS);
            rows.addAll(page);
            after = page.isEmpty() ? after : page.get(page.size() - 1).key();
        } while (page.size() == PAGE_ROWS);
        return rows;
    }

    /** Returns the existing rows of the given keys, by key. */
    public Map<String, Row> read(List<String> keys) throws PlatformException {
        Map<String, Row> rows = new HashMap<>();
        table.read(keys).forEach(row -> rows.put(row.key(), row));
        return rows;
    }

    static ConfigItem item(Row row) {
        String path = row.key().substring(RowKeys.ITEMS.length());
        int slash = path.indexOf('/');
        return new ConfigItem(path.substring(0, slash), path.substring(slash + 1), row.text());
    }

    /** Applies a change to the given state. Returns a conflict if the state is no longer current. */
    public Outcome change(State state, Wanted wanted) throws PlatformException {
        ConfigChange change = new ConfigChange(
                state.version() + 1,
                UUID.randomUUID().toString(),
                author,
                System.currentTimeMillis(),
                wanted.action(),
                wanted.items(),
                wanted.grants());
        Transaction base = ConfigTransactions.build(change, state.versionRow(), state.items());
        List<RowOperation> operations = new ArrayList<>(base.operations());
        operations.addAll(wanted.further());
        return resolve(change, transact(new Transaction(base.id(), operations)));
    }

    /** Applies a change to the current configuration. Retries up to 10 times after a conflict with another operator. */
    public Outcome changeLatest(Wanted wanted) throws PlatformException {
        Outcome outcome = change(state(), wanted);
        for (int i = 0; i < MAX_ATTEMPTS && outcome instanceof Outcome.Conflict; i++) {
            outcome = change(state(), wanted);
        }
        return outcome;
    }

    /** Sends a transaction up to 10 times until there is a response. It takes effect at most once. */
    private TransactionResult transact(Transaction transaction) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                return table.transact(transaction);
            } catch (PlatformException e) {
                if (attempt == MAX_ATTEMPTS) {
                    throw e;
                }
                waitBeforeRetry(e);
            }
        }
    }

    private static void waitBeforeRetry(PlatformException cause) throws PlatformException {
        try {
            Thread.sleep(RETRY_DELAY.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw cause;
        }
    }

    private static Outcome resolve(ConfigChange change, TransactionResult result) {
        if (result instanceof Committed) {
            return new Outcome.Applied(change.version());
        }
        Rejected rejected = (Rejected) result;
        Optional<ConfigChange> existing = rejected.on(RowKeys.change(change.version()))
                .flatMap(TransactionResult.Failure::current)
                .map(row -> RowText.read(row.text(), ConfigChange.class));
        if (existing.isPresent() && existing.get().changeId().equals(change.changeId())) {
            return new Outcome.Applied(change.version());
        }
        Optional<TransactionResult.Failure> version = rejected.on(RowKeys.CONFIG_VERSION);
        if (version.isPresent()) {
            long currentVersion = version.get().current().map(Row::amount).orElse(0L);
            return new Outcome.Conflict(
                    currentVersion, existing.map(ConfigChange::author).orElse("another operator"));
        }
        return new Outcome.Impossible("conditions on these rows do not hold: "
                + rejected.failures().stream()
                        .map(TransactionResult.Failure::key)
                        .toList());
    }
}
