package org.streamring.entry.ledger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.LedgerPlan;
import org.streamring.kernel.ledger.LedgerStep;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.platform.BillArchive;

/**
 * Applies the ledger's plans, one after the other, on a thread of its own. Plans are made at an interval, or at once
 * when
 * a request waits. While the table does not answer, the open plan is tried again with jittered pauses.
 */
public final class LedgerRunner {
    private static final Logger LOGGER = LoggerFactory.getLogger(LedgerRunner.class);
    private static final long SHORTEST_PAUSE_MILLIS = 20;
    private static final long RETRY_MILLIS = 500;

    private final LedgerHolder holder;
    private final PlatformTable table;
    private final BillArchive bills;
    private final SidecarLinks links;
    private final LeaseWaiters waiters;
    private final Duration interval;
    private final Semaphore kicks = new Semaphore(0);
    private final Thread thread;
    private final Counter committed;
    private final Counter rejected;
    private final Counter unanswered;
    private volatile boolean storeAway;
    private volatile long lastTroubleMillis = -1;
    private volatile boolean stopped;

    /** Creates one; {@link #start} starts it. */
    public LedgerRunner(
            LedgerHolder holder,
            PlatformTable table,
            BillArchive bills,
            SidecarLinks links,
            LeaseWaiters waiters,
            Duration interval,
            MeterRegistry metrics) {
        this.holder = holder;
        this.table = table;
        this.bills = bills;
        this.links = links;
        this.waiters = waiters;
        this.interval = interval;
        this.thread = new Thread(this::run, "ledger");
        this.thread.setDaemon(true);
        this.committed = counter(metrics, "committed");
        this.rejected = counter(metrics, "rejected");
        this.unanswered = counter(metrics, "unanswered");
        Gauge.builder("streamring.leases.open", () -> holder.current().openLeases())
                .description("Leases held by this entry")
                .register(metrics);
        Gauge.builder("streamring.lease.waiters", waiters::size)
                .description("Requests that wait for a lease")
                .register(metrics);
    }

    private static Counter counter(MeterRegistry metrics, String result) {
        return Counter.builder("streamring.ledger.transactions")
                .description("Ledger transactions by result")
                .tag("result", result)
                .register(metrics);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Asks for a plan now. */
    public void kick() {
        if (kicks.availablePermits() == 0) {
            kicks.release();
        }
    }

    /** When the table last gave no answer, by the clock of this process; negative for never. */
    public long lastTroubleMillis() {
        return lastTroubleMillis;
    }

    /** Whether the table does not answer. */
    public boolean storeAway() {
        return storeAway;
    }

    private void run() {
        while (!stopped) {
            try {
                pause();
                step();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                LOGGER.error("ledger_step_failed", e);
            }
        }
    }

    private void pause() throws InterruptedException {
        if (storeAway) {
            Thread.sleep(RETRY_MILLIS / 2 + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
            return;
        }
        Thread.sleep(SHORTEST_PAUSE_MILLIS);
        kicks.tryAcquire(interval.toMillis(), TimeUnit.MILLISECONDS);
        kicks.drainPermits();
    }

    /** Makes and applies one plan. */
    private void step() {
        LeaseLedger ledger = holder.current();
        lookAtUsedUpBudgets(ledger);
        Optional<LedgerPlan> plan = ledger.plan(System.currentTimeMillis());
        if (plan.isEmpty()) {
            ledger.allowSettling(true);
            if (ledger.isFenced()) {
                holder.replace(ledger);
            }
            waiters.wake(false);
            return;
        }
        if (!writeBills(ledger, plan.get())) {
            return;
        }
        try {
            TransactionResult result = table.transact(plan.get().transaction());
            noteStore(false);
            handle(ledger, ledger.resolve(result, System.currentTimeMillis()));
        } catch (PlatformException e) {
            ledger.noAnswer();
            unanswered.increment();
            noteStore(true);
        }
        waiters.wake(storeAway);
        if (ledger.wantsPlanSoon()) {
            kick();
        }
    }

    private void lookAtUsedUpBudgets(LeaseLedger ledger) {
        List<String> budgets = ledger.budgetsToLookAt(System.currentTimeMillis());
        if (budgets.isEmpty()) {
            return;
        }
        try {
            Map<String, Row> rows = new HashMap<>();
            table.read(budgets.stream().map(RowKeys::remaining).toList()).forEach(row -> rows.put(row.key(), row));
            for (String budget : budgets) {
                Row row = rows.get(RowKeys.remaining(budget));
                ledger.lookedAt(budget, row == null ? 0 : row.amount(), System.currentTimeMillis());
            }
        } catch (PlatformException e) {
            noteStore(true);
        }
    }

    /** Without its bills a plan is not applied; leases are still taken while the object store is away. */
    private boolean writeBills(LeaseLedger ledger, LedgerPlan plan) {
        if (plan.billItems().isEmpty()) {
            ledger.allowSettling(true);
            return true;
        }
        try {
            bills.writeSettled(ledger.incarnation(), plan.sequence(), plan.billItems());
            return true;
        } catch (PlatformException e) {
            if (!storeAway) {
                LOGGER.warn("bills_not_written step={} peer={} problem={}", e.step(), e.peer(), e.getMessage());
                ledger.abandonUnsent();
                ledger.allowSettling(false);
                kick();
            }
            return false;
        }
    }

    private void handle(LeaseLedger ledger, LedgerStep step) throws PlatformException {
        if (step instanceof LedgerStep.Done done) {
            committed.increment();
            links.leasesSettled(done.plan().settledLeases().stream()
                    .filter(settled -> !settled.held())
                    .map(LedgerPlan.SettledLease::leaseId)
                    .toList());
        } else if (step instanceof LedgerStep.ReadBack readBack) {
            List<String> keys = readBack.keys();
            handle(ledger, ledger.resolveReadBack(table.read(keys), System.currentTimeMillis()));
        } else if (step instanceof LedgerStep.FencedOff) {
            rejected.increment();
            holder.replace(ledger);
        } else {
            rejected.increment();
        }
    }

    private void noteStore(boolean away) {
        if (away) {
            lastTroubleMillis = System.currentTimeMillis();
        }
        if (away != storeAway) {
            LOGGER.warn("table_{}", away ? "away" : "back");
        }
        storeAway = away;
    }

    /** Stops the thread. */
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
