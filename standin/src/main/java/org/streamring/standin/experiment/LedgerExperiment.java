package org.streamring.standin.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.LedgerPlan;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.kernel.ledger.LedgerStep;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.receipt.Usage;
import org.streamring.kernel.recovery.LeaseCloser;
import org.streamring.kernel.recovery.PeerReceipts;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;

/**
 * Simulates the lease ledgers of a few entries that share a budget, in steps of 100 ms of simulated time. Compares the
 * tokens that were actually spent with the bills, the refusals and the rows of the table. Network and routing are not
 * part of the simulation; they are tested with real processes.
 */
public final class LedgerExperiment {
    private static final String BUDGET = "budget";
    private static final String SIDECAR = "sidecar~1";
    private static final long TICK_MILLIS = 100;
    private static final long TICKS_PER_SECOND = 10;
    private static final long PLAN_INTERVAL_TICKS = 20;
    private static final long MAX_WAIT_MILLIS = 2_000;
    private static final long CLOSE_DELAY_MILLIS = 30_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Scenario scenario;
    private final String variant;
    private final LedgerSettings settings;
    private final SplittableRandom random;
    private final InMemoryTable table = new InMemoryTable();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Work> plannedWork = new HashMap<>();
    private final Map<String, Long> executedTokens = new HashMap<>();
    private long spentTokens;
    private final Map<String, Receipt> receipts = new HashMap<>();
    private final Map<String, BillItem> billed = new HashMap<>();
    private final Map<String, Long> endedMillis = new HashMap<>();
    private long nowMillis;
    private long transactions;
    private long results;
    private long requests;
    private long refusals;
    private long falseRefusals;
    private long outOfReach;
    private long settleLagMillis;
    private long doubleBills;
    private Optional<Entry> killedEntry = Optional.empty();

    private record Running(Reservation reservation, long tokens, long endMillis) {}

    private record Work(long tokens, long durationMillis) {}

    private record WaitingRequest(String attempt, long sinceMillis) {}

    private final class Entry {
        private final int index;
        private final LeaseLedger ledger;
        private final PriorityQueue<Running> running =
                new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
        private final List<WaitingRequest> waiting = new ArrayList<>();
        private int attempts;
        private boolean storeUnreachable;

        private Entry(int index, String incarnation) {
            this.index = index;
            this.ledger = new LeaseLedger(incarnation, "", settings);
            this.ledger.announcePeer(SIDECAR);
        }
    }

    /** Creates an experiment; the same seed gives the same requests with all settings. */
    public LedgerExperiment(Scenario scenario, String variant, LedgerSettings settings, long seed) {
        this.scenario = scenario;
        this.variant = variant;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario. */
    public ExperimentResult run() {
        grant();
        for (int i = 0; i < scenario.entries(); i++) {
            entries.add(new Entry(i, "entry-" + i + "~1"));
        }
        long ticks = scenario.seconds() * TICKS_PER_SECOND;
        for (long tick = 0; tick < ticks; tick++) {
            nowMillis = tick * TICK_MILLIS;
            killEntryIfDue();
            generateRequests();
            for (Entry entry : entries) {
                finishRequests(entry);
                boolean due = (tick + entry.index) % PLAN_INTERVAL_TICKS == 0 || !entry.waiting.isEmpty();
                if (due || entry.ledger.needsPlanSoon()) {
                    transactAndRetryWaiting(entry);
                }
            }
        }
        return result();
    }

    private void grant() {
        table.transact(new Transaction(
                "grant",
                List.of(
                        new RowOperation.Insert(RowKeys.remaining(BUDGET), scenario.budgetTokens(), ""),
                        new RowOperation.Insert(RowKeys.granted(BUDGET), scenario.budgetTokens(), ""),
                        new RowOperation.Insert(RowKeys.settled(BUDGET), 0, ""),
                        new RowOperation.Insert(RowKeys.held(BUDGET), 0, ""))));
    }

    private double seconds() {
        return nowMillis / (double) MILLIS_PER_SECOND;
    }

    private void generateRequests() {
        double perTick = scenario.requestsPerSecond() / TICKS_PER_SECOND;
        int count = (int) perTick + (random.nextDouble() < perTick % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            int target = drawEntry();
            long tokens = Math.min(scenario.worstCase(), 1 + (long) (scenario.average() * 2 * random.nextDouble()));
            long duration = MILLIS_PER_SECOND + random.nextLong(4 * MILLIS_PER_SECOND);
            request(entries.get(target), tokens, duration);
        }
    }

    private int drawEntry() {
        double total = 0;
        for (int i = 0; i < scenario.entries(); i++) {
            total += Math.pow(scenario.skew(), -i);
        }
        double remainingWeight = random.nextDouble() * total;
        for (int i = 0; i < scenario.entries(); i++) {
            remainingWeight -= Math.pow(scenario.skew(), -i);
            if (remainingWeight < 0) {
                return i;
            }
        }
        return scenario.entries() - 1;
    }

    private void request(Entry entry, long tokens, long duration) {
        requests++;
        String attempt = entry.ledger.incarnation() + "#" + ++entry.attempts;
        plannedWork.put(attempt, new Work(tokens, duration));
        tryReserve(entry, new WaitingRequest(attempt, nowMillis), true);
    }

    /** Tries to reserve tokens; returns whether the request was started or refused, so that it no longer waits. */
    private boolean tryReserve(Entry entry, WaitingRequest waiting, boolean mayWait) {
        ReserveResult result = entry.ledger.reserve(waiting.attempt(), BUDGET, scenario.worstCase(), nowMillis);
        if (result instanceof ReserveResult.Reserved reserved) {
            start(entry, reserved.reservation());
            return true;
        }
        boolean waitedTooLong = nowMillis - waiting.sinceMillis() >= MAX_WAIT_MILLIS;
        if (result instanceof ReserveResult.NeedsLease && !entry.storeUnreachable && !waitedTooLong) {
            if (mayWait) {
                entry.waiting.add(waiting);
            }
            return false;
        }
        refuse(entry);
        return true;
    }

    private void start(Entry entry, Reservation reservation) {
        Work work = plannedWork.remove(reservation.attempt());
        executedTokens.put(reservation.attempt(), work.tokens());
        spentTokens += work.tokens();
        receipts.put(reservation.attempt(), receipt(reservation, work.tokens()));
        entry.running.add(new Running(reservation, work.tokens(), nowMillis + work.durationMillis()));
    }

    private static Receipt receipt(Reservation reservation, long tokens) {
        return new Receipt(
                reservation.attempt(),
                "account/" + reservation.attempt(),
                "account",
                BUDGET,
                reservation.leaseId(),
                "service",
                reservation.tokens(),
                Usage.flat(tokens),
                true);
    }

    /** Counts a refusal, which is false if the unspent tokens of the budget would have covered the request. */
    private void refuse(Entry entry) {
        refusals++;
        if (scenario.budgetTokens() - spentTokens >= scenario.worstCase()) {
            falseRefusals++;
            if (!availableInReach(entry)) {
                outOfReach++;
            }
        }
    }

    /** Returns whether the table or a single reachable entry has enough tokens for a request. */
    private boolean availableInReach(Entry entry) {
        if (!reachable(entry)) {
            return false;
        }
        long remaining = table.read(List.of(RowKeys.remaining(BUDGET))).get(0).amount();
        long largest = entries.stream()
                .filter(this::reachable)
                .mapToLong(other -> other.ledger.freeTokens(BUDGET))
                .max()
                .orElse(0);
        return Math.max(remaining, largest) >= scenario.worstCase();
    }

    private void finishRequests(Entry entry) {
        while (!entry.running.isEmpty() && entry.running.peek().endMillis() <= nowMillis) {
            Running done = entry.running.poll();
            endedMillis.put(done.reservation().attempt(), nowMillis);
            entry.ledger.finish(
                    done.reservation(), billItem(receipts.get(done.reservation().attempt())), nowMillis);
        }
    }

    private static BillItem billItem(Receipt receipt) {
        return new BillItem(
                receipt.attempt(),
                receipt.requestKey(),
                receipt.account(),
                BUDGET,
                receipt.leaseId(),
                receipt.service(),
                SIDECAR,
                0,
                receipt.tokens(),
                receipt.tokens(),
                0);
    }

    private void transactAndRetryWaiting(Entry entry) {
        readRemaining(entry);
        Optional<LedgerPlan> plan = entry.ledger.plan(nowMillis);
        if (plan.isPresent()) {
            entry.storeUnreachable = !apply(entry, plan.get());
        }
        entry.waiting.removeIf(waiting -> tryReserve(entry, waiting, false));
    }

    private void readRemaining(Entry entry) {
        for (String budget : entry.ledger.budgetsToRead(nowMillis)) {
            if (reachable(entry)) {
                long remaining =
                        table.read(List.of(RowKeys.remaining(budget))).get(0).amount();
                entry.ledger.remainingRead(budget, remaining, nowMillis);
            }
        }
    }

    private boolean reachable(Entry entry) {
        boolean storeOutage = scenario.storeAway().stream().anyMatch(span -> span.contains(seconds()));
        boolean cutOff = entry.index == 0 && scenario.cutOff().stream().anyMatch(span -> span.contains(seconds()));
        return !storeOutage && !cutOff;
    }

    private boolean apply(Entry entry, LedgerPlan plan) {
        if (!reachable(entry)) {
            return false;
        }
        transactions++;
        TransactionResult result = table.transact(plan.transaction());
        results++;
        if (scenario.loseEvery() > 0 && results % scenario.loseEvery() == 0 && plan.sequence() > 1) {
            return true;
        }
        LedgerStep step = entry.ledger.resolve(result, nowMillis);
        if (step instanceof LedgerStep.ReadBack readBack) {
            step = entry.ledger.resolveReadBack(table.read(readBack.keys()), nowMillis);
        }
        if (step instanceof LedgerStep.Done done) {
            done.plan().billItems().forEach(this::bill);
        }
        return true;
    }

    private void bill(BillItem item) {
        if (billed.put(item.attempt(), item) != null) {
            doubleBills++;
        }
        settleLagMillis += Math.max(0, nowMillis - endedMillis.getOrDefault(item.attempt(), nowMillis));
    }

    private void killEntryIfDue() {
        if (scenario.killed() >= 0 && nowMillis == scenario.killed() * MILLIS_PER_SECOND) {
            Entry killed = entries.get(0);
            killedEntry = Optional.of(killed);
            entries.set(0, new Entry(0, "entry-0~2"));
        }
        boolean closingDue = killedEntry.isPresent()
                && nowMillis >= scenario.killed() * MILLIS_PER_SECOND + CLOSE_DELAY_MILLIS
                && reachable(entries.get(entries.size() - 1));
        if (closingDue) {
            close(killedEntry.get());
            killedEntry = Optional.empty();
        }
    }

    private void close(Entry killed) {
        String incarnation = killed.ledger.incarnation();
        LeaseCloser closer = new LeaseCloser("closer~1");
        transact(closer.markClosing(entryRow(incarnation)));
        Set<String> settled = new HashSet<>(billed.keySet());
        List<Receipt> unsettled = receipts.values().stream()
                .filter(receipt -> !settled.contains(receipt.attempt()))
                .filter(receipt -> receipt.leaseId().startsWith(incarnation + "/"))
                .toList();
        LeaseCloser.CollectedReceipts collected = new LeaseCloser.CollectedReceipts(
                List.of(SIDECAR), List.of(new PeerReceipts(SIDECAR, unsettled)), List.of());
        List<Row> leases = table.scan(RowKeys.leasesOf(incarnation), "", LeaseCloser.MAX_LEASES);
        LeaseCloser.Settlement settlement = closer.settle(entryRow(incarnation), leases, collected, nowMillis);
        transact(settlement.transaction());
        settlement.items().forEach(this::bill);
        Row peersRow = table.read(List.of(RowKeys.peers(incarnation))).get(0);
        transact(closer.finish(entryRow(incarnation), peersRow));
    }

    private Row entryRow(String incarnation) {
        return table.read(List.of(RowKeys.entry(incarnation))).get(0);
    }

    private void transact(Transaction transaction) {
        transactions++;
        TransactionResult result = table.transact(transaction);
        if (!(result instanceof TransactionResult.Committed)) {
            throw new IllegalStateException("transaction of the lease closer was rejected: " + result);
        }
    }

    private ExperimentResult result() {
        long settled = table.read(List.of(RowKeys.settled(BUDGET))).get(0).amount();
        long billedTokens = billed.values().stream().mapToLong(BillItem::tokens).sum();
        long misbilledAttempts = billed.values().stream()
                .filter(item -> !executedTokens.get(item.attempt()).equals(item.tokens()))
                .count();
        return new ExperimentResult(
                scenario.name(),
                variant,
                requests,
                falseRefusals,
                outOfReach,
                refusals,
                Math.max(0, spentTokens - scenario.budgetTokens()),
                Math.abs(settled - billedTokens) + misbilledAttempts,
                doubleBills,
                transactions,
                settleLagMillis,
                billed.size());
    }
}
