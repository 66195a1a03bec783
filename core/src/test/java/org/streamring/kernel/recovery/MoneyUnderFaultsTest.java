package org.streamring.kernel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.streamring.kernel.ledger.Bank;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.ledger.LedgerDriver;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.kernel.receipt.AdmitDecision;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.receipt.ReceiptBookSettings;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.kernel.receipt.Usage;
import org.streamring.kernel.table.FaultyTable.Fault;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Injects random faults in random order into the ledger, the receipts and the closing of leases, with fixed seeds.
 * Checks that no tokens are overspent, lost or billed twice.
 */
public class MoneyUnderFaultsTest {
    private static final String BUDGET = "budget";
    private static final long GRANTED = 20_000;
    private static final int STEPS = 600;
    private static final int SEEDS_PER_ROW = 25;

    private SplittableRandom random;
    private Bank bank;
    private long now;
    private int nameCount;
    private List<LedgerDriver> live;
    private List<LedgerDriver> dead;
    private Map<String, ReceiptStore> sidecars;
    private Set<String> disconnected;
    private List<FaultedAttempt> attempts;
    private Map<String, Long> usedTokens;
    private Set<String> attemptsWithLostReceipts;
    private ItemisedBill bill;
    private Map<String, Long> closedAt;

    @DataProvider
    public Object[][] seeds() {
        Object[][] rows = new Object[16][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {i * SEEDS_PER_ROW};
        }
        return rows;
    }

    @Test(dataProvider = "seeds")
    public void nothingIsOverspentLostOrBilledTwice(int firstSeed) {
        for (int seed = firstSeed; seed < firstSeed + SEEDS_PER_ROW; seed++) {
            runSeed(seed);
        }
    }

    private void runSeed(int seed) {
        random = new SplittableRandom(seed);
        bank = new Bank().grant(BUDGET, GRANTED);
        now = 0;
        nameCount = 0;
        live = new ArrayList<>();
        dead = new ArrayList<>();
        sidecars = new HashMap<>();
        disconnected = new HashSet<>();
        attempts = new ArrayList<>();
        usedTokens = new HashMap<>();
        attemptsWithLostReceipts = new HashSet<>();
        bill = new ItemisedBill();
        closedAt = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            startSidecar();
        }
        for (int i = 0; i < 3; i++) {
            startEntry();
        }
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(2_000);
            performRandomAction();
            bank.assertSumsAgree(BUDGET);
            assertThat(usedTokens.values().stream().mapToLong(Long::longValue).sum())
                    .as("seed %d step %d: tokens used do not exceed the tokens granted", seed, step)
                    .isLessThanOrEqualTo(GRANTED);
        }
        finishAndCloseAll();
        assertBalances(seed);
    }

    private void performRandomAction() {
        switch (random.nextInt(14)) {
            case 0, 1, 2, 3 -> startRequest();
            case 4, 5 -> deliverOrder();
            case 6, 7 -> endAttempt();
            case 8, 9 -> stepEntry();
            case 10 -> toggleConnection();
            case 11 -> closeOne();
            case 12 -> resolveHeld();
            default -> performRareAction();
        }
    }

    private void performRareAction() {
        int kind = random.nextInt(8);
        if (kind == 0 && live.size() > 1) {
            LedgerDriver killed = live.remove(random.nextInt(live.size()));
            dead.add(killed);
            startEntry();
        } else if (kind == 1) {
            removeSidecar(pick(new ArrayList<>(sidecars.keySet())));
            startSidecar();
        } else {
            live.forEach(entry -> entry.table.deliverLate());
            dead.forEach(entry -> entry.table.deliverLate());
        }
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void startEntry() {
        LedgerDriver entry = new LedgerDriver("entry~" + ++nameCount, bank, LedgerSettings.prompt());
        sidecars.keySet().forEach(entry.ledger::announcePeer);
        live.add(entry);
    }

    private void startSidecar() {
        String name = "sidecar~" + ++nameCount;
        sidecars.put(name, new ReceiptStore(ReceiptBookSettings.defaults()));
        live.forEach(entry -> entry.ledger.announcePeer(name));
    }

    /** Removes a sidecar and its receipts. The tokens of attempts that ran at it stay spent. */
    private void removeSidecar(String name) {
        sidecars.remove(name);
        disconnected.remove(name);
        for (FaultedAttempt attempt : attempts) {
            if (attempt.sidecar.equals(name)) {
                attemptsWithLostReceipts.add(attempt.name());
                if (!attempt.done) {
                    attempt.done = true;
                    attempt.markUncertain();
                }
            }
        }
        live.forEach(entry -> entry.ledger.retirePeer(name, now));
    }

    private void startRequest() {
        LedgerDriver entry = pick(live);
        if (!(entry.tryReserve(BUDGET, 50 + random.nextInt(200), now) instanceof ReserveResult.Reserved reserved)) {
            return;
        }
        String sidecar = pick(new ArrayList<>(sidecars.keySet()));
        if (disconnected.contains(sidecar) || !entry.ledger.mayUse(sidecar)) {
            entry.ledger.release(reserved.reservation());
            return;
        }
        attempts.add(new FaultedAttempt(entry, reserved.reservation(), sidecar));
    }

    private void deliverOrder() {
        List<FaultedAttempt> inTransitAttempts =
                attempts.stream().filter(FaultedAttempt::inTransit).toList();
        if (inTransitAttempts.isEmpty()) {
            return;
        }
        FaultedAttempt attempt = pick(inTransitAttempts);
        if (sidecars.get(attempt.sidecar).admit(attempt.order(BUDGET), now) instanceof AdmitDecision.Run) {
            attempt.running = true;
            // Until the attempt has ended, it may use all reserved tokens.
            usedTokens.put(attempt.name(), attempt.reservation.tokens());
        } else {
            attempt.done = true;
            attempt.entry.ledger.release(attempt.reservation);
        }
    }

    private void endAttempt() {
        List<FaultedAttempt> running =
                attempts.stream().filter(FaultedAttempt::inProgress).toList();
        if (running.isEmpty()) {
            return;
        }
        FaultedAttempt attempt = pick(running);
        attempt.done = true;
        long tokens = random.nextLong(attempt.reservation.tokens() + 1);
        usedTokens.put(attempt.name(), tokens);
        sidecars.get(attempt.sidecar).end(attempt.order(BUDGET), Usage.flat(tokens), 0, now);
        if (disconnected.contains(attempt.sidecar)) {
            attempt.markUncertain();
        } else {
            attempt.entry.finish(attempt.reservation, tokens, now);
        }
    }

    private void stepEntry() {
        LedgerDriver entry = pick(live);
        if (random.nextInt(4) == 0) {
            entry.table.next(pick(List.of(Fault.LOST_ANSWER, Fault.LOST_CALL, Fault.LATE)));
        }
        entry.step(now);
        if (entry.ledger.isFenced()) {
            live.remove(entry);
            dead.add(entry);
            startEntry();
        }
        for (String sidecar : sidecars.keySet()) {
            if (!disconnected.contains(sidecar)) {
                resolveUncertain(entry, sidecar);
            }
        }
    }

    private void resolveUncertain(LedgerDriver entry, String sidecar) {
        for (Reservation reservation : entry.ledger.uncertainAt(sidecar)) {
            List<Receipt> receipts = sidecars.get(sidecar).queryOrBar(List.of(reservation.attempt()));
            if (receipts.isEmpty()) {
                entry.ledger.release(reservation);
            } else if (receipts.get(0).ended()) {
                entry.finish(reservation, receipts.get(0).tokens(), now);
            }
        }
    }

    private void toggleConnection() {
        String name = pick(new ArrayList<>(sidecars.keySet()));
        if (disconnected.remove(name)) {
            return;
        }
        disconnected.add(name);
        // Orders in transit may be unread in the broken connection, so their entries cannot tell whether they will run.
        attempts.stream()
                .filter(attempt -> attempt.sidecar.equals(name) && attempt.inTransit())
                .forEach(FaultedAttempt::markUncertain);
    }

    /** Closes a random entry, which may be dead or live: a live entry can be suspected wrongly. */
    private void closeOne() {
        List<Row> rows = bank.rows(RowKeys.ENTRIES);
        if (rows.isEmpty() || random.nextInt(3) > 0) {
            return;
        }
        close(pick(rows), random.nextInt(4) == 0);
    }

    private void close(Row row, boolean stopHalfway) {
        LeaseCloser closer = new LeaseCloser("closer~" + random.nextInt(2));
        String incarnation = LeaseCloser.incarnationOf(row);
        if (!(bank.table.transact(closer.markClosing(row)) instanceof Committed)) {
            return;
        }
        Row peersRow = bank.row(RowKeys.peers(incarnation)).orElseThrow();
        List<String> peers = LeaseCloser.peersOf(peersRow);
        List<PeerReceipts> answers = new ArrayList<>();
        for (String peer : peers) {
            ReceiptStore receiptStore = sidecars.get(peer);
            if (receiptStore != null && !disconnected.contains(peer)) {
                PeerReceipts answer = new PeerReceipts(peer, receiptStore.fence(incarnation));
                if (answer.stillRunning()) {
                    return;
                }
                answers.add(answer);
            }
        }
        LeaseCloser.CollectedReceipts collected =
                new LeaseCloser.CollectedReceipts(peers, answers, unsettledItems(incarnation, row.amount()));
        List<Row> leases = bank.rows(RowKeys.leasesOf(incarnation));
        int perTransaction = 1 + random.nextInt(3);
        for (int from = 0; from < leases.size(); from += perTransaction) {
            List<Row> batch = leases.subList(from, Math.min(leases.size(), from + perTransaction));
            Row entryRow = bank.row(row.key()).orElseThrow();
            LeaseCloser.Settlement settlement = closer.settle(entryRow, batch, collected, now);
            settlement.items().forEach(bill::add);
            TransactionResult result = bank.table.transact(settlement.transaction());
            assertThat(result).as("there is no concurrent closer").isInstanceOf(Committed.class);
            if (stopHalfway) {
                return;
            }
        }
        bank.table.transact(closer.finish(bank.row(row.key()).orElseThrow(), peersRow));
    }

    /**
     * Returns the items of batches after the last committed transaction. These batches are invalid after the
     * incarnation was closed, and the closer bills their items instead.
     */
    private List<BillItem> unsettledItems(String incarnation, long committed) {
        closedAt.put(incarnation, committed);
        return entries()
                .filter(entry -> entry.ledger.incarnation().equals(incarnation))
                .flatMap(entry -> entry.items(sequence -> sequence > committed).stream())
                .toList();
    }

    private Stream<LedgerDriver> entries() {
        return Stream.concat(live.stream(), dead.stream());
    }

    private void resolveHeld() {
        for (Row row : bank.rows(RowKeys.HELD)) {
            HeldRecord record = RowText.read(row.text(), HeldRecord.class);
            for (String peer : record.waitingFor()) {
                if (sidecars.containsKey(peer) && !disconnected.contains(peer)) {
                    resolve(row, record, peer);
                    break;
                }
            }
        }
    }

    private void resolve(Row row, HeldRecord record, String peer) {
        ReceiptStore receiptStore = sidecars.get(peer);
        String entry = record.leaseId().substring(0, record.leaseId().indexOf('/'));
        List<Receipt> receipts =
                record.attempts().isEmpty() ? receiptStore.fence(entry) : receiptStore.queryOrBar(record.attempts());
        if (!HeldResolver.isFinal(row, receipts)) {
            return;
        }
        HeldResolver.Resolution resolution =
                new HeldResolver("r").settleWithReceipts(row, new PeerReceipts(peer, receipts), bill.attempts(), now);
        resolution.items().forEach(bill::add);
        bank.table.transact(resolution.transaction());
    }

    /** Ends all attempts, restores all connections, then stops and closes all entries. */
    private void finishAndCloseAll() {
        while (attempts.stream().anyMatch(FaultedAttempt::inTransit)) {
            deliverOrder();
        }
        while (attempts.stream().anyMatch(FaultedAttempt::inProgress)) {
            endAttempt();
        }
        disconnected.clear();
        now += 86_400_000;
        live.forEach(entry -> {
            entry.settleDown(now);
            entry.table.deliverLate();
        });
        dead.forEach(entry -> entry.table.deliverLate());
        for (int i = 0; i < 10; i++) {
            // Each pass queries only one sidecar per held row.
            bank.rows(RowKeys.ENTRIES).forEach(row -> close(row, false));
            resolveHeld();
        }
        entries().forEach(entry -> {
            long valid = closedAt.getOrDefault(entry.ledger.incarnation(), Long.MAX_VALUE);
            entry.items(sequence -> sequence <= valid).forEach(bill::add);
        });
    }

    private void assertBalances(int seed) {
        bank.assertSumsAgree(BUDGET);
        assertThat(bank.leased(BUDGET))
                .as("seed %d: no lease is left: %s %s", seed, bank.rows("lease/"), bank.rows("entry/"))
                .isZero();
        assertThat(bank.settled(BUDGET))
                .as("seed %d: settled tokens equal billed tokens", seed)
                .isEqualTo(bill.tokens());
        long unbilled = bill.assertCovers(usedTokens, attemptsWithLostReceipts, "seed " + seed);
        assertThat(bank.held(BUDGET))
                .as("seed %d: used tokens that are not billed are held", seed)
                .isGreaterThanOrEqualTo(unbilled);
    }
}
