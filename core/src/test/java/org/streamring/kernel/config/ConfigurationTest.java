package org.streamring.kernel.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.model.declaration.BudgetDeclaration;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.PriorityClass;
import org.testng.annotations.Test;

public class ConfigurationTest {
    private static ConfigChange change(long version, String id, ConfigItem... items) {
        return new ConfigChange(version, id, "operator", 0, "apply", List.of(items), List.of());
    }

    private static ConfigItem rank(String name, int rank) {
        return new ConfigItem("classes", name, "{\"rank\":" + rank + "}");
    }

    @Test
    public void onlyOneOfTwoConcurrentChangesIsApplied() {
        InMemoryTable table = new InMemoryTable();
        Row none = new Row(RowKeys.CONFIG_VERSION, 0, 0, "");
        assertThat(table.transact(ConfigTransactions.build(change(1, "a", rank("x", 1)), none, Map.of())))
                .isInstanceOf(Committed.class);
        assertThat(table.transact(ConfigTransactions.build(change(1, "b", rank("x", 2)), none, Map.of())))
                .isNotInstanceOf(Committed.class);
        assertThat(table.read(List.of(RowKeys.item("classes", "x"))).get(0).text())
                .contains("1");
    }

    @Test
    public void aRepeatedChangeIsAppliedOnce() {
        InMemoryTable table = new InMemoryTable();
        Row none = new Row(RowKeys.CONFIG_VERSION, 0, 0, "");
        ConfigChange grant = new ConfigChange(
                1, "a", "operator", 0, "apply", List.of(), List.of(new ConfigChange.Grant("b", 100, true)));
        table.transact(ConfigTransactions.build(grant, none, Map.of()));
        assertThat(table.transact(ConfigTransactions.build(grant, none, Map.of())))
                .isNotInstanceOf(Committed.class);
        assertThat(table.read(List.of(RowKeys.remaining("b"))).get(0).amount()).isEqualTo(100);
    }

    @Test
    public void anOlderVersionNeverComesIntoForce() {
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.applyFull(5, List.of(rank("x", 5)));
        assertThat(holder.applyFull(4, List.of(rank("x", 4)))).isFalse();
        holder.applyChanges(List.of(change(3, "old", rank("x", 3)), change(5, "same", rank("x", 9))));
        assertThat(holder.current().version()).isEqualTo(5);
        assertThat(holder.current().declarations().classes().get("x").rank()).isEqualTo(5);
        assertThat(holder.ignoredVersions()).isEqualTo(3);
    }

    @Test
    public void changesAreAppliedInOrderUpToTheFirstMissingVersion() {
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.applyFull(1, List.of());
        assertThat(holder.applyChanges(List.of(change(4, "d", rank("x", 4)), change(2, "b", rank("x", 2)))))
                .contains(2L);
        assertThat(holder.current().version()).isEqualTo(2);
        assertThat(holder.applyChanges(List.of(change(3, "c", new ConfigItem("classes", "x", "")))))
                .isEmpty();
        assertThat(holder.current().declarations().classes()).isEmpty();
    }

    @Test
    public void listenersAreNotifiedOfIncreasingVersionsOnly() {
        ConfigurationHolder holder = new ConfigurationHolder();
        List<Long> seen = new ArrayList<>();
        holder.listen((configuration, changes) -> seen.add(configuration.version()));
        holder.applyFull(2, List.of());
        holder.applyFull(1, List.of());
        holder.applyChanges(List.of(change(3, "c")));
        assertThat(seen).containsExactly(2L, 3L);
    }

    @Test
    public void aRaisedBudgetGrantsTheDifference() {
        DeclarationDiff diff = DeclarationDiff.between(budget(100), budget(250));
        assertThat(diff.grants()).containsExactly(new ConfigChange.Grant("b", 150, false));
    }

    private static Declarations budget(long tokens) {
        Declarations declarations = new Declarations(null, null, null, null, null, null);
        declarations.budgets().put("b", new BudgetDeclaration(tokens));
        return declarations;
    }

    @Test
    public void aLargeDifferenceIsSplitIntoPartsThatEachFitOneTransaction() {
        Declarations wanted = new Declarations(null, null, null, null, null, null);
        for (int i = 0; i < 60; i++) {
            wanted.budgets().put("b" + i, new BudgetDeclaration(1));
            wanted.classes().put("c" + i, new PriorityClass(1));
        }
        List<DeclarationDiff> parts = ChangeSplitter.split(DeclarationDiff.between(Declarations.EMPTY, wanted));
        InMemoryTable table = new InMemoryTable();
        Row version = new Row(RowKeys.CONFIG_VERSION, 0, 0, "");
        for (DeclarationDiff part : parts) {
            ConfigChange change = new ConfigChange(
                    version.amount() + 1, "c" + version.amount(), "o", 0, "apply", part.items(), part.grants());
            Map<String, Row> items = new HashMap<>();
            table.scan(RowKeys.ITEMS, "", 1000).forEach(row -> items.put(row.key(), row));
            assertThat(table.transact(ConfigTransactions.build(change, version, items)))
                    .isInstanceOf(Committed.class);
            version = table.read(List.of(RowKeys.CONFIG_VERSION)).get(0);
        }
        assertThat(table.scan(RowKeys.ITEMS, "", 1000)).hasSize(120);
        assertThat(new TreeMap<>(wanted.budgets())).hasSize(60);
    }
}
