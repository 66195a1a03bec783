package org.streamring.kernel.table;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A table whose answers can be lost, and whose writes can come late or not at all. */
public final class FaultyTable implements PlatformTable {
    /** What happens to one transaction. */
    public enum Fault {
        /** It takes effect and is answered. */
        NONE,
        /** It takes effect, but the answer is lost. */
        LOST_ANSWER,
        /** It never arrives. */
        LOST_CALL,
        /** No answer; it takes effect when {@link #deliverLate} is called. */
        LATE
    }

    private final InMemoryTable table;
    private final Deque<Fault> script = new ArrayDeque<>();
    private final List<Transaction> late = new ArrayList<>();

    public FaultyTable(InMemoryTable table) {
        this.table = table;
    }

    public void next(Fault... faults) {
        script.addAll(List.of(faults));
    }

    public void deliverLate() {
        late.forEach(table::transact);
        late.clear();
    }

    @Override
    public TransactionResult transact(Transaction transaction) throws PlatformException {
        Fault fault = script.isEmpty() ? Fault.NONE : script.poll();
        if (fault == Fault.NONE) {
            return table.transact(transaction);
        }
        if (fault == Fault.LOST_ANSWER) {
            table.transact(transaction);
        } else if (fault == Fault.LATE) {
            late.add(transaction);
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
