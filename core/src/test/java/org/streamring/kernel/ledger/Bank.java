package org.streamring.kernel.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/** Table with budgets for tests, and the sums of token amounts that must always be equal. */
public final class Bank {
    private static final int ALL = 100_000;

    public final InMemoryTable table = new InMemoryTable();

    public Bank grant(String budget, long tokens) {
        table.transact(new Transaction(
                "grant-" + budget,
                List.of(
                        new RowOperation.Insert(RowKeys.remaining(budget), tokens, ""),
                        new RowOperation.Insert(RowKeys.granted(budget), tokens, ""),
                        new RowOperation.Insert(RowKeys.settled(budget), 0, ""),
                        new RowOperation.Insert(RowKeys.held(budget), 0, ""))));
        return this;
    }

    public void topUp(String budget, long tokens) {
        table.transact(new Transaction(
                "top-up-" + budget,
                List.of(
                        new RowOperation.Add(RowKeys.remaining(budget), tokens, 0),
                        new RowOperation.Add(RowKeys.granted(budget), tokens, 0))));
    }

    public long remaining(String budget) {
        return amount(RowKeys.remaining(budget));
    }

    public long settled(String budget) {
        return amount(RowKeys.settled(budget));
    }

    public long held(String budget) {
        return amount(RowKeys.held(budget));
    }

    private long amount(String key) {
        return row(key).map(Row::amount).orElse(0L);
    }

    public Optional<Row> row(String key) {
        return table.read(List.of(key)).stream().findFirst();
    }

    public List<Row> rows(String prefix) {
        return table.scan(prefix, "", ALL);
    }

    public long leased(String budget) {
        return rows("lease/").stream()
                .filter(row ->
                        RowText.read(row.text(), LeaseRecord.class).budget().equals(budget))
                .mapToLong(Row::amount)
                .sum();
    }

    /**
     * Asserts that the granted tokens equal the sum of the remaining, leased, settled and held tokens, that the held
     * rows add up to the held tokens, and that the remaining tokens are not negative.
     */
    public void assertSumsAgree(String budget) {
        assertThat(remaining(budget) + leased(budget) + settled(budget) + held(budget))
                .as("sums of budget %s", budget)
                .isEqualTo(amount(RowKeys.granted(budget)));
        assertThat(rows("held/").stream().mapToLong(Row::amount).sum()).isEqualTo(held(budget));
        assertThat(remaining(budget)).isNotNegative();
    }
}
