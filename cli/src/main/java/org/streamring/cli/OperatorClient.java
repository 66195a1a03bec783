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
 * Reads and changes the configuration. Every change is one transaction that moves the version and writes its audit row;
 * a lost answer is resolved by the change's own identifier.
 */
public final class OperatorClient {
    private static final int PAGE = 500;
    private static final int TRIES = 10;
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final PlatformTable table;
    private final String author;

    /**
     * Creates one.
     *
     * @param author who makes the changes
     */
    public OperatorClient(PlatformTable table, String author) {
        this.table = table;
        this.author = author;
    }

    /**
     * The configuration as read.
     *
     * @param versionRow row of the version; version 0 if nothing was ever applied
     * @param items rows of items by key
     */
    public record State(Row versionRow, Map<String, Row> items) {
        /** Version in force. */
        public long version() {
            return versionRow.amount();
        }

        /** What is declared. */
        public Declarations declarations() {
            return DeclarationItems.join(
                    items.values().stream().map(OperatorClient::item).toList());
        }
    }

    /**
     * What a change sets, removes and grants.
     *
     * @param action name of the action, for the audit trail
     * @param items items to set or remove
     * @param grants tokens to grant
     * @param further further operations of the same transaction
     */
    public record Wanted(
            String action, List<ConfigItem> items, List<ConfigChange.Grant> grants, List<RowOperation> further) {
        /** Copies the lists. */
        public Wanted {
            items = List.copyOf(items);
            grants = List.copyOf(grants);
            further = List.copyOf(further);
        }
    }

    /** What became of a change. */
    public sealed interface Outcome {
        /** In force at this version. */
        record Applied(long version) implements Outcome {}

        /** The version had moved. */
        record Conflict(long version, String changedBy) implements Outcome {}

        /** A condition of the change itself does not hold. */
        record Impossible(String why) implements Outcome {}
    }

    /** Reads the configuration, all at one version. */
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

    /** Reads all rows with a prefix and a key after the given one. */
    public List<Row> scan(String prefix, String afterKey) throws PlatformException {
        List<Row> rows = new ArrayList<>();
        String after = afterKey;
        List<Row> page;
        do {
            page = table.scan(prefix, after, PAGE);
            rows.addAll(page);
            after = page.isEmpty() ? after : page.get(page.size() - 1).key();
        } while (page.size() == PAGE);
        return rows;
    }

    /** Reads rows by key. */
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

    /** Makes a change on top of the state as read. */
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

    /** Makes a change on top of whatever is in force, as often as another operator is faster. */
    public Outcome changeLatest(Wanted wanted) throws PlatformException {
        Outcome outcome = change(state(), wanted);
        for (int i = 0; i < TRIES && outcome instanceof Outcome.Conflict; i++) {
            outcome = change(state(), wanted);
        }
        return outcome;
    }

    /** Repeats the same transaction while no answer comes; it takes effect at most once. */
    private TransactionResult transact(Transaction transaction) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                return table.transact(transaction);
            } catch (PlatformException e) {
                if (attempt == TRIES) {
                    throw e;
                }
                pause(e);
            }
        }
    }

    private static void pause(PlatformException cause) throws PlatformException {
        try {
            Thread.sleep(PAUSE.toMillis());
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
        Optional<ConfigChange> standing = rejected.on(RowKeys.change(change.version()))
                .flatMap(TransactionResult.Failure::current)
                .map(row -> RowText.read(row.text(), ConfigChange.class));
        if (standing.isPresent() && standing.get().changeId().equals(change.changeId())) {
            return new Outcome.Applied(change.version());
        }
        Optional<TransactionResult.Failure> version = rejected.on(RowKeys.CONFIG_VERSION);
        if (version.isPresent()) {
            long now = version.get().current().map(Row::amount).orElse(0L);
            return new Outcome.Conflict(now, standing.map(ConfigChange::author).orElse("another operator"));
        }
        return new Outcome.Impossible("does not hold: "
                + rejected.failures().stream()
                        .map(TransactionResult.Failure::key)
                        .toList());
    }
}
