package org.streamring.kernel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamring.kernel.ledger.Bank;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.LedgerDriver;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.AdmitDecision;
import org.streamring.kernel.receipt.AttemptOrder;
import org.streamring.kernel.receipt.ReceiptBookSettings;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.kernel.receipt.Usage;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.model.request.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaseCloserTest {
    private static final String BUDGET = "budget";
    private static final String HOLDER = "entry-1~a";
    private static final long DAY = 86_400_000;

    private Bank bank;
    private LedgerDriver holder;
    private Map<String, ReceiptStore> sidecars;

    @BeforeMethod
    public void setUp() {
        bank = new Bank().grant(BUDGET, 10_000);
        holder = new LedgerDriver(HOLDER, bank, LedgerSettings.patient());
        sidecars = new HashMap<>();
        for (String sidecar : List.of("s1~a", "s2~a")) {
            sidecars.put(sidecar, new ReceiptStore(ReceiptBookSettings.defaults()));
            holder.ledger.announcePeer(sidecar);
        }
        holder.step(0);
    }

    private static AttemptOrder order(Reservation reservation) {
        return TestOrders.of(reservation, HOLDER, BUDGET);
    }

    private AttemptOrder submit(String sidecar) {
        Reservation reservation = holder.reserve(BUDGET, 100, 0).orElseThrow();
        AttemptOrder order = order(reservation);
        assertThat(sidecars.get(sidecar).admit(order, 0)).isInstanceOf(AdmitDecision.Run.class);
        return order;
    }

    private void run(String sidecar, long tokens) {
        sidecars.get(sidecar).end(submit(sidecar), Usage.flat(tokens), 0, 0);
    }

    private Row entryRow() {
        return bank.row(RowKeys.entry(HOLDER)).orElseThrow();
    }

    private Row peersRow() {
        return bank.row(RowKeys.peers(HOLDER)).orElseThrow();
    }

    private LeaseCloser.CollectedReceipts collected(List<PeerReceipts> answers) {
        return new LeaseCloser.CollectedReceipts(LeaseCloser.peersOf(peersRow()), answers, List.of());
    }

    private List<PeerReceipts> fence(String... reachable) {
        List<PeerReceipts> answers = new ArrayList<>();
        for (String sidecar : reachable) {
            answers.add(new PeerReceipts(sidecar, sidecars.get(sidecar).fence(HOLDER)));
        }
        return answers;
    }

    private List<BillItem> close(LeaseCloser closer, List<PeerReceipts> answers) {
        List<BillItem> bills = new ArrayList<>();
        bank.table.transact(closer.markClosing(entryRow()));
        for (Row lease : bank.rows(RowKeys.leasesOf(HOLDER))) {
            LeaseCloser.Settlement settlement = closer.settle(entryRow(), List.of(lease), collected(answers), 0);
            if (bank.table.transact(settlement.transaction()) instanceof Committed) {
                bills.addAll(settlement.items());
            }
        }
        bank.table.transact(closer.finish(entryRow(), peersRow()));
        return bills;
    }

    @Test
    public void tokensInReceiptsAreSettledAndTheRemainderIsReturned() {
        run("s1~a", 70);
        run("s2~a", 30);
        List<BillItem> bills = close(new LeaseCloser("entry-2~b"), fence("s1~a", "s2~a"));
        assertThat(bills).hasSize(2);
        assertThat(bank.settled(BUDGET)).isEqualTo(100);
        assertThat(bank.remaining(BUDGET)).isEqualTo(9_900);
        assertThat(bank.rows(RowKeys.ENTRIES)).isEmpty();
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void tokensThatAnUnreachableSidecarMayHaveSpentAreHeld() {
        run("s1~a", 70);
        run("s2~a", 30);
        long leased = bank.leased(BUDGET);
        close(new LeaseCloser("entry-2~b"), fence("s1~a"));
        assertThat(bank.settled(BUDGET)).isEqualTo(70);
        assertThat(bank.held(BUDGET)).isEqualTo(leased - 70);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void heldTokensAreSettledWhenTheUnreachableSidecarAnswers() {
        run("s1~a", 70);
        run("s2~a", 30);
        close(new LeaseCloser("entry-2~b"), fence("s1~a"));
        Row held = bank.rows(RowKeys.HELD).get(0);
        PeerReceipts late = fence("s2~a").get(0);
        bank.table.transact(new HeldResolver("entry-2~b")
                .settleWithReceipts(held, late, Set.of(), 0)
                .transaction());
        assertThat(bank.settled(BUDGET)).isEqualTo(100);
        assertThat(bank.held(BUDGET)).isZero();
        assertThat(bank.remaining(BUDGET)).isEqualTo(9_900);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void anAttemptSentToTwoSidecarsIsBilledOnce() {
        Reservation reservation = holder.reserve(BUDGET, 100, 0).orElseThrow();
        for (String sidecar : List.of("s1~a", "s2~a")) {
            sidecars.get(sidecar).admit(order(reservation), 0);
            sidecars.get(sidecar).end(order(reservation), Usage.flat(40), 0, 0);
        }
        List<BillItem> bills = close(new LeaseCloser("entry-2~b"), fence("s1~a", "s2~a"));
        assertThat(bills).hasSize(1);
        assertThat(bank.settled(BUDGET)).isEqualTo(40);
    }

    @Test
    public void anAttemptAlreadyBilledIsNotBilledAgainWhenItsSecondSidecarAnswers() {
        Reservation reservation = holder.reserve(BUDGET, 100, 0).orElseThrow();
        for (String sidecar : List.of("s1~a", "s2~a")) {
            sidecars.get(sidecar).admit(order(reservation), 0);
            sidecars.get(sidecar).end(order(reservation), Usage.flat(40), 0, 0);
        }
        List<BillItem> bills = close(new LeaseCloser("entry-2~b"), fence("s1~a"));
        HeldResolver.Resolution resolution = new HeldResolver("entry-2~b")
                .settleWithReceipts(
                        bank.rows(RowKeys.HELD).get(0),
                        fence("s2~a").get(0),
                        Set.of(bills.get(0).attempt()),
                        0);
        bank.table.transact(resolution.transaction());
        assertThat(resolution.items()).isEmpty();
        assertThat(bank.settled(BUDGET)).isEqualTo(40);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void itemsWrittenByTheHolderAreSettledEvenIfTheSidecarIsUnreachable() {
        AttemptOrder order = submit("s1~a");
        BillItem written = LedgerDriver.item(new Reservation(order.attempt(), BUDGET, order.leaseId(), 100), 55);
        bank.table.transact(new LeaseCloser("entry-2~b").markClosing(entryRow()));
        Row lease = bank.rows(RowKeys.leasesOf(HOLDER)).get(0);
        LeaseCloser.Settlement settlement = new LeaseCloser("entry-2~b")
                .settle(
                        entryRow(),
                        List.of(lease),
                        new LeaseCloser.CollectedReceipts(LeaseCloser.peersOf(peersRow()), List.of(), List.of(written)),
                        0);
        bank.table.transact(settlement.transaction());
        assertThat(bank.settled(BUDGET)).isEqualTo(55);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void aRunningAttemptMakesTheAnswerNotFinal() {
        submit("s1~a");
        assertThat(fence("s1~a").get(0).stillRunning()).isTrue();
    }

    @Test
    public void anAttemptAdmittedBeforeTheFenceIsInTheAnswerToTheFence() {
        // The check and the receipt are one step: an order that passed the check before the fence is in its answer.
        AttemptOrder passedCheck = submit("s1~a");
        List<PeerReceipts> answers = fence("s1~a");
        assertThat(answers.get(0).receipts())
                .anyMatch(receipt ->
                        receipt.attempt().equals(passedCheck.attempt()) && receipt.tokens() == passedCheck.reserved());
    }

    @Test
    public void aSidecarRefusesOrdersOfAFencedEntry() {
        Reservation reservation = holder.reserve(BUDGET, 100, 0).orElseThrow();
        fence("s1~a");
        assertThat(sidecars.get("s1~a").admit(order(reservation), 0))
                .isEqualTo(new AdmitDecision.Refuse(RefusalReason.FENCED));
    }

    @DataProvider
    public Object[][] interleavings() {
        return new Object[][] {{0}, {1}, {2}};
    }

    @Test(dataProvider = "interleavings")
    public void twoClosersSettleEveryLeaseOnce(int takeoverAfter) {
        run("s1~a", 70);
        LeaseCloser first = new LeaseCloser("entry-2~b");
        LeaseCloser second = new LeaseCloser("entry-3~c");
        List<PeerReceipts> answers = fence("s1~a", "s2~a");
        bank.table.transact(first.markClosing(entryRow()));
        Row rowReadByFirst = entryRow();
        Row lease = bank.rows(RowKeys.leasesOf(HOLDER)).get(0);
        LeaseCloser.Settlement firstSettlement = first.settle(rowReadByFirst, List.of(lease), collected(answers), 0);
        if (takeoverAfter == 0) {
            bank.table.transact(second.markClosing(entryRow()));
        }
        TransactionResult firstResult = bank.table.transact(firstSettlement.transaction());
        assertThat(firstResult instanceof Committed).isEqualTo(takeoverAfter != 0);
        if (takeoverAfter == 2) {
            assertThat(bank.table.transact(firstSettlement.transaction()))
                    .as("repeated")
                    .isNotInstanceOf(Committed.class);
        }
        close(second, answers);
        assertThat(bank.settled(BUDGET)).isEqualTo(70);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void aHolderThatResumesAfterItsLeasesWereClosedChangesNothing() {
        run("s1~a", 70);
        close(new LeaseCloser("entry-2~b"), fence("s1~a", "s2~a"));
        holder.settleDown(DAY);
        assertThat(holder.ledger.isFenced()).isTrue();
        assertThat(bank.settled(BUDGET)).isEqualTo(70);
        assertThat(bank.rows("lease/")).isEmpty();
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void manyLeasesAreSettledByOneTransaction() {
        List<PeerReceipts> answers = fence("s1~a", "s2~a");
        for (int i = 0; i < LeaseCloser.MAX_LEASES; i++) {
            bank.grant("budget-" + i, 1_000);
            assertThat(holder.reserve("budget-" + i, 100, 0)).isPresent();
        }
        LeaseCloser closer = new LeaseCloser("entry-2~b");
        bank.table.transact(closer.markClosing(entryRow()));
        List<Row> leases = bank.rows(RowKeys.leasesOf(HOLDER));
        LeaseCloser.Settlement settlement = closer.settle(entryRow(), leases, collected(answers.subList(0, 1)), 0);
        assertThat(bank.table.transact(settlement.transaction())).isInstanceOf(Committed.class);
        assertThat(bank.rows(RowKeys.leasesOf(HOLDER))).isEmpty();
        assertThat(bank.rows(RowKeys.HELD)).hasSize(LeaseCloser.MAX_LEASES);
    }

    @Test
    public void heldTokensAreSettledByDecisionOfAnOperator() {
        run("s1~a", 70);
        close(new LeaseCloser("entry-2~b"), List.of());
        Row held = bank.rows(RowKeys.HELD).get(0);
        bank.table.transact(new org.streamring.kernel.table.Transaction(
                "decision", new HeldResolver("operator").settleByDecision(held, 70)));
        assertThat(bank.settled(BUDGET)).isEqualTo(70);
        assertThat(bank.held(BUDGET)).isZero();
        bank.assertSumsAgree(BUDGET);
    }
}
