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
import org.streamring.kernel.receipt.ReceiptBook;
import org.streamring.kernel.receipt.ReceiptBookSettings;
import org.streamring.kernel.receipt.Usage;
import org.streamring.kernel.table.FaultyTable.Fault;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Random faults, in random order, against the ledger, receipts and closing; fixed seeds. */
public class MoneyUnderFaultsTest {
    private static final String BUDGET = "budget";
    private static final long GRANTED = 20_000;
    private static final int STEPS = 600;
    private static final int SEEDS_PER_ROW = 25;

    private SplittableRandom random;
    private Bank bank;
    private long now;
    private int names;
    private List<LedgerDriver> live;
    private List<LedgerDriver> dead;
    private Map<String, ReceiptBook> sidecars;
    private Set<String> cutOff;
    private List<FaultedAttempt> work;
    private Map<String, Long> ran;
    private Set<String> ranWhereReceiptsDied;
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
        names = 0;
        live = new ArrayList<>();
        dead = new ArrayList<>();
        sidecars = new HashMap<>();
        cutOff = new HashSet<>();
        work = new ArrayList<>();
        ran = new HashMap<>();
        ranWhereReceiptsDied = new HashSet<>();
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
            act();
            bank.assertSumsAgree(BUDGET);
            assertThat(ran.values().stream().mapToLong(Long::longValue).sum())
                    .as("seed %d step %d: what ran is covered", seed, step)
                    .isLessThanOrEqualTo(GRANTED);
        }
        comeToRest();
        assertAccounts(seed);
    }

    private void act() {
        switch (random.nextInt(14)) {
            case 0, 1, 2, 3 -> request();
            case 4, 5 -> deliver();
            case 6, 7 -> end();
            case 8, 9 -> stepEntry();
            case 10 -> toggleCut();
            case 11 -> closeOne();
            case 12 -> resolveHeld();
            default -> rareEvent();
        }
    }

    private void rareEvent() {
        int kind = random.nextInt(8);
        if (kind == 0 && live.size() > 1) {
            LedgerDriver killed = live.remove(random.nextInt(live.size()));
            dead.add(killed);
            startEntry();
        } else if (kind == 1) {
            killSidecar(pick(new ArrayList<>(sidecars.keySet())));
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
        LedgerDriver entry = new LedgerDriver("entry~" + ++names, bank, LedgerSettings.prompt());
        sidecars.keySet().forEach(entry.ledger::announcePeer);
        live.add(entry);
    }

    private void startSidecar() {
        String name = "sidecar~" + ++names;
        sidecars.put(name, new ReceiptBook(ReceiptBookSettings.defaults()));
        live.forEach(entry -> entry.ledger.announcePeer(name));
    }

    /** What ran there stays spent, though its receipts are gone. */
    private void killSidecar(String name) {
        sidecars.remove(name);
        cutOff.remove(name);
        for (FaultedAttempt one : work) {
            if (one.sidecar.equals(name)) {
                ranWhereReceiptsDied.add(one.name());
                if (!one.done) {
                    one.done = true;
                    one.lose();
                }
            }
        }
        live.forEach(entry -> entry.ledger.retirePeer(name, now));
    }

    private void request() {
        LedgerDriver entry = pick(live);
        if (!(entry.tryReserve(BUDGET, 50 + random.nextInt(200), now) instanceof ReserveResult.Reserved reserved)) {
            return;
        }
        String sidecar = pick(new ArrayList<>(sidecars.keySet()));
        if (cutOff.contains(sidecar) || !entry.ledger.mayUse(sidecar)) {
            entry.ledger.release(reserved.reservation());
            return;
        }
        work.add(new FaultedAttempt(entry, reserved.reservation(), sidecar));
    }

    private void deliver() {
        List<FaultedAttempt> waiting =
                work.stream().filter(FaultedAttempt::onItsWay).toList();
        if (waiting.isEmpty()) {
            return;
        }
        FaultedAttempt one = pick(waiting);
        if (sidecars.get(one.sidecar).admit(one.order(BUDGET), now) instanceof AdmitDecision.Run) {
            one.running = true;
            // Until its end is known it may use everything that was set aside for it.
            ran.put(one.name(), one.reservation.tokens());
        } else {
            one.done = true;
            one.entry.ledger.release(one.reservation);
        }
    }

    private void end() {
        List<FaultedAttempt> running =
                work.stream().filter(FaultedAttempt::inProgress).toList();
        if (running.isEmpty()) {
            return;
        }
        FaultedAttempt one = pick(running);
        one.done = true;
        long tokens = random.nextLong(one.reservation.tokens() + 1);
        ran.put(one.name(), tokens);
        sidecars.get(one.sidecar).end(one.order(BUDGET), Usage.flat(tokens), 0, now);
        if (cutOff.contains(one.sidecar)) {
            one.lose();
        } else {
            one.entry.finish(one.reservation, tokens, now);
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
            if (!cutOff.contains(sidecar)) {
                askForDoubtful(entry, sidecar);
            }
        }
    }

    private void askForDoubtful(LedgerDriver entry, String sidecar) {
        for (Reservation reservation : entry.ledger.uncertainAt(sidecar)) {
            List<Receipt> receipts = sidecars.get(sidecar).receiptsFor(List.of(reservation.attempt()));
            if (receipts.isEmpty()) {
                entry.ledger.release(reservation);
            } else if (receipts.get(0).ended()) {
                entry.finish(reservation, receipts.get(0).tokens(), now);
            }
        }
    }

    private void toggleCut() {
        String name = pick(new ArrayList<>(sidecars.keySet()));
        if (cutOff.remove(name)) {
            return;
        }
        cutOff.add(name);
        // Orders on their way may lie unread in the broken connection; their entries no longer know what becomes of
        // them.
        work.stream().filter(one -> one.sidecar.equals(name) && one.onItsWay()).forEach(FaultedAttempt::lose);
    }

    /** Any entry's row may be closed: its holder may be dead, or only taken for dead. */
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
            ReceiptBook book = sidecars.get(peer);
            if (book != null && !cutOff.contains(peer)) {
                PeerReceipts answer = new PeerReceipts(peer, book.fence(incarnation));
                if (answer.stillRunning()) {
                    return;
                }
                answers.add(answer);
            }
        }
        LeaseCloser.Findings findings =
                new LeaseCloser.Findings(peers, answers, writtenByHolder(incarnation, row.amount()));
        List<Row> leases = bank.rows(RowKeys.leasesOf(incarnation));
        int perTransaction = 1 + random.nextInt(3);
        for (int from = 0; from < leases.size(); from += perTransaction) {
            List<Row> batch = leases.subList(from, Math.min(leases.size(), from + perTransaction));
            Row entryRow = bank.row(row.key()).orElseThrow();
            LeaseCloser.Settlement settlement = closer.settle(entryRow, batch, findings, now);
            settlement.items().forEach(bill::add);
            TransactionResult result = bank.table.transact(settlement.transaction());
            assertThat(result).as("nobody else acts here").isInstanceOf(Committed.class);
            if (stopHalfway) {
                return;
            }
        }
        bank.table.transact(closer.finish(bank.row(row.key()).orElseThrow(), peersRow));
    }

    /**
     * Batches after the last committed transaction are void once the incarnation is closed; the closer takes them
     * over.
     */
    private List<BillItem> writtenByHolder(String incarnation, long committed) {
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
                if (sidecars.containsKey(peer) && !cutOff.contains(peer)) {
                    resolve(row, record, peer);
                    break;
                }
            }
        }
    }

    private void resolve(Row row, HeldRecord record, String peer) {
        ReceiptBook book = sidecars.get(peer);
        String entry = record.leaseId().substring(0, record.leaseId().indexOf('/'));
        List<Receipt> receipts = record.attempts().isEmpty() ? book.fence(entry) : book.receiptsFor(record.attempts());
        if (!HeldResolver.isFinal(row, receipts)) {
            return;
        }
        HeldResolver.Resolution resolution =
                new HeldResolver("r").onAnswer(row, new PeerReceipts(peer, receipts), bill.attempts(), now);
        resolution.items().forEach(bill::add);
        bank.table.transact(resolution.transaction());
    }

    /** All work ends, all cuts heal, all entries stop and are closed. */
    private void comeToRest() {
        while (work.stream().anyMatch(FaultedAttempt::onItsWay)) {
            deliver();
        }
        while (work.stream().anyMatch(FaultedAttempt::inProgress)) {
            end();
        }
        cutOff.clear();
        now += 86_400_000;
        live.forEach(entry -> {
            entry.settleDown(now);
            entry.table.deliverLate();
        });
        dead.forEach(entry -> entry.table.deliverLate());
        for (int i = 0; i < 10; i++) {
            // One sidecar is asked for a held row at a time.
            bank.rows(RowKeys.ENTRIES).forEach(row -> close(row, false));
            resolveHeld();
        }
        entries().forEach(entry -> {
            long valid = closedAt.getOrDefault(entry.ledger.incarnation(), Long.MAX_VALUE);
            entry.items(sequence -> sequence <= valid).forEach(bill::add);
        });
    }

    private void assertAccounts(int seed) {
        bank.assertSumsAgree(BUDGET);
        assertThat(bank.leased(BUDGET))
                .as("seed %d: no lease is left: %s %s", seed, bank.rows("lease/"), bank.rows("entry/"))
                .isZero();
        assertThat(bank.settled(BUDGET)).as("seed %d: settled is billed", seed).isEqualTo(bill.tokens());
        long uncounted = bill.assertCovers(ran, ranWhereReceiptsDied, "seed " + seed);
        assertThat(bank.held(BUDGET))
                .as("seed %d: what is not billed is held", seed)
                .isGreaterThanOrEqualTo(uncounted);
    }
}
