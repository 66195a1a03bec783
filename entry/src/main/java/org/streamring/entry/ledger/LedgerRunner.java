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
 * Applies the ledger's plans to the table, one after the other, on its own thread. Plans are made at an interval, or
 * immediately when a request waits for a lease. During a store outage, the open plan is retried with jittered pauses.
 */
public final class LedgerRunner {
    private static final Logger LOGGER = LoggerFactory.getLogger(LedgerRunner.class);
    private static final long MIN_PAUSE_MILLIS = 20;
    private static final long MEAN_RETRY_PAUSE_MILLIS = 500;

    private final LedgerHolder holder;
    private final PlatformTable table;
    private final BillArchive bills;
    private final SidecarLinks links;
    private final LeaseWaiters waiters;
    private final Duration interval;
    private final Semaphore planRequests = new Semaphore(0);
    private final Thread thread;
    private final Counter committed;
    private final Counter rejected;
    private final Counter unanswered;
    private volatile boolean storeUnreachable;
    private volatile long lastOutageMillis = -1;
    private volatile boolean stopped;

    /** Creates a runner; {@link #start} starts its thread. */
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

    /** Requests that a plan is made without waiting for the interval. */
    public void requestPlan() {
        if (planRequests.availablePermits() == 0) {
            planRequests.release();
        }
    }

    /**
     * Returns when the table last failed to answer, in milliseconds of the local clock; negative if it has always
     * answered.
     */
    public long lastOutageMillis() {
        return lastOutageMillis;
    }

    /** Returns whether the table is unreachable. */
    public boolean storeUnreachable() {
        return storeUnreachable;
    }

    private void run() {
        while (!stopped) {
            try {
                pause();
                applyNextPlan();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                LOGGER.error("ledger_step_failed", e);
            }
        }
    }

    private void pause() throws InterruptedException {
        if (storeUnreachable) {
            Thread.sleep(
                    MEAN_RETRY_PAUSE_MILLIS / 2 + ThreadLocalRandom.current().nextLong(MEAN_RETRY_PAUSE_MILLIS));
            return;
        }
        Thread.sleep(MIN_PAUSE_MILLIS);
        planRequests.tryAcquire(interval.toMillis(), TimeUnit.MILLISECONDS);
        planRequests.drainPermits();
    }

    /** Makes and applies one plan. */
    private void applyNextPlan() {
        LeaseLedger ledger = holder.current();
        readUsedUpBudgets(ledger);
        Optional<LedgerPlan> plan = ledger.plan(System.currentTimeMillis());
        if (plan.isEmpty()) {
            ledger.allowSettling(true);
            if (ledger.isFenced()) {
                holder.replace(ledger);
            }
            waiters.retryAll(false);
            return;
        }
        if (!writeBills(ledger, plan.get())) {
            return;
        }
        try {
            TransactionResult result = table.transact(plan.get().transaction());
            recordStoreState(false);
            handle(ledger, ledger.resolve(result, System.currentTimeMillis()));
        } catch (PlatformException e) {
            ledger.noAnswer();
            unanswered.increment();
            recordStoreState(true);
        }
        waiters.retryAll(storeUnreachable);
        if (ledger.needsPlanSoon()) {
            requestPlan();
        }
    }

    private void readUsedUpBudgets(LeaseLedger ledger) {
        List<String> budgets = ledger.budgetsToRead(System.currentTimeMillis());
        if (budgets.isEmpty()) {
            return;
        }
        try {
            Map<String, Row> rows = new HashMap<>();
            table.read(budgets.stream().map(RowKeys::remaining).toList()).forEach(row -> rows.put(row.key(), row));
            for (String budget : budgets) {
                Row row = rows.get(RowKeys.remaining(budget));
                ledger.remainingRead(budget, row == null ? 0 : row.amount(), System.currentTimeMillis());
            }
        } catch (PlatformException e) {
            recordStoreState(true);
        }
    }

    /**
     * Writes the bill items of a plan; returns false if that failed. A plan is applied only after its bill items are
     * written. While the object store is unreachable, settling is suspended and leases are still acquired.
     */
    private boolean writeBills(LeaseLedger ledger, LedgerPlan plan) {
        if (plan.billItems().isEmpty()) {
            ledger.allowSettling(true);
            return true;
        }
        try {
            bills.writeSettled(ledger.incarnation(), plan.sequence(), plan.billItems());
            return true;
        } catch (PlatformException e) {
            if (!storeUnreachable) {
                LOGGER.warn("bills_not_written step={} peer={} problem={}", e.step(), e.peer(), e.getMessage());
                ledger.abandonUnsent();
                ledger.allowSettling(false);
                requestPlan();
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

    private void recordStoreState(boolean unreachable) {
        if (unreachable) {
            lastOutageMillis = System.currentTimeMillis();
        }
        if (unreachable != storeUnreachable) {
            LOGGER.warn("table_{}", unreachable ? "away" : "back");
        }
        storeUnreachable = unreachable;
    }

    /** Stops the thread. */
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
