package org.streamring.kernel.table;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Table for tests that can lose answers and that can delay or lose writes. */
public final class FaultyTable implements PlatformTable {
    /** Fault injected into one transaction. */
    public enum Fault {
        /** The transaction takes effect and is answered. */
        NONE,
        /** The transaction takes effect, but its answer is lost. */
        LOST_ANSWER,
        /** The transaction never reaches the table. */
        LOST_CALL,
        /** The transaction is not answered and takes effect when {@link #deliverLate} is called. */
        LATE
    }

    private final InMemoryTable table;
    private final Deque<Fault> nextFaults = new ArrayDeque<>();
    private final List<Transaction> delayed = new ArrayList<>();

    public FaultyTable(InMemoryTable table) {
        this.table = table;
    }

    public void next(Fault... faults) {
        nextFaults.addAll(List.of(faults));
    }

    public void deliverLate() {
        delayed.forEach(table::transact);
        delayed.clear();
    }

    @Override
    public TransactionResult transact(Transaction transaction) throws PlatformException {
        Fault fault = nextFaults.isEmpty() ? Fault.NONE : nextFaults.poll();
        if (fault == Fault.NONE) {
            return table.transact(transaction);
        }
        if (fault == Fault.LOST_ANSWER) {
            table.transact(transaction);
        } else if (fault == Fault.LATE) {
            delayed.add(transaction);
        }
        throw new PlatformException("transact", "table", fault.name());
    }

    @Override
    public List<Row> read(List<String> keys) {
        return table.read(keys);
    }

    @Override
    public List<Row> scan(String prefix, String after, int limit) {
        return table.scan(prefix, after, limit);
    }
}
