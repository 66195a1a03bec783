package org.streamring.kernel.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.streamring.kernel.table.FaultyTable.Fault.LATE;
import static org.streamring.kernel.table.FaultyTable.Fault.LOST_ANSWER;
import static org.streamring.kernel.table.FaultyTable.Fault.LOST_CALL;

import java.util.List;
import java.util.Optional;
import org.streamring.kernel.recovery.LeaseCloser;
import org.streamring.kernel.table.FaultyTable.Fault;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaseLedgerTest {
    private static final String BUDGET = "budget";
    private static final long DAY = 86_400_000;

    private Bank bank;
    private LedgerDriver driver;

    @BeforeMethod
    public void setUp() {
        bank = new Bank().grant(BUDGET, 10_000);
        driver = new LedgerDriver("entry-1~a", bank, LedgerSettings.patient());
        driver.step(0);
    }

    @Test
    public void theEntryRowContainsTheReportedAddress() {
        driver.ledger.reportAddress("127.0.0.1:8080");
        driver.settleDown(DAY);

        Row row = bank.row(RowKeys.entry("entry-1~a")).orElseThrow();
        assertThat(RowText.read(row.text(), EntryRecord.class).address()).isEqualTo("127.0.0.1:8080");
    }

    @Test
    public void nothingIsSpendableBeforeALeaseIsTaken() {
        assertThat(driver.tryReserve(BUDGET, 100, 0)).isInstanceOf(ReserveResult.NeedsLease.class);
    }

    @Test
    public void spentTokensAreSettledAndTheRemainderIsReturned() {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        driver.settleDown(DAY);
        assertThat(bank.settled(BUDGET)).isEqualTo(60);
        assertThat(bank.remaining(BUDGET)).isEqualTo(9_940);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void finishingTwiceChargesOnce() {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        assertThat(driver.ledger.finish(reservation, LedgerDriver.item(reservation, 60), 0))
                .isFalse();
        driver.settleDown(DAY);
        assertThat(bank.settled(BUDGET)).isEqualTo(60);
    }

    @Test
    public void moreThanTheBudgetIsNeverReserved() {
        long reserved = 0;
        for (int i = 0; i < 200; i++) {
            Optional<Reservation> reservation = driver.reserve(BUDGET, 90, i);
            reserved += reservation.map(Reservation::tokens).orElse(0L);
            bank.assertSumsAgree(BUDGET);
        }
        assertThat(reserved).isLessThanOrEqualTo(10_000).isGreaterThan(9_900);
    }

    @Test
    public void aUsedUpBudgetIsRefusedWithARetryTime() {
        driver.reserve(BUDGET, 20_000, 0);
        ReserveResult result = driver.tryReserve(BUDGET, 20_000, 1);
        assertThat(result).isInstanceOf(ReserveResult.UsedUp.class);
        assertThat(((ReserveResult.UsedUp) result).retryAfter()).isPositive();
    }

    @Test
    public void aTopUpEndsRefusals() {
        driver.reserve(BUDGET, 20_000, 0);
        bank.topUp(BUDGET, 90_000);
        driver.ledger.toppedUp(BUDGET);
        assertThat(driver.reserve(BUDGET, 20_000, 1)).isPresent();
    }

    @Test
    public void aSmallRequestIsServedAfterALargeOneWasRefused() {
        driver.reserve(BUDGET, 20_000, 0);
        assertThat(driver.reserve(BUDGET, 100, 1)).isPresent();
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {List.of(LOST_ANSWER)},
            {List.of(LOST_CALL)},
            {List.of(LATE)},
            {List.of(LOST_ANSWER, LOST_ANSWER)},
            {List.of(LOST_CALL, LOST_ANSWER)},
            {List.of(LATE, LOST_ANSWER)},
            {List.of(LATE, LATE, LOST_CALL)},
            {List.of(LOST_CALL, LATE, LOST_ANSWER)},
        };
    }

    @Test(dataProvider = "faults")
    public void aLeaseWhoseWriteHasAnUnknownOutcomeIsTakenOnce(List<Fault> faults) {
        driver.table.next(faults.toArray(Fault[]::new));
        driver.tryReserve(BUDGET, 100, 0);
        faults.forEach(fault -> driver.step(0));
        assertThat(driver.ledger.openLeases())
                .as("open leases while the outcome is unknown")
                .isZero();
        driver.settleDown(0);
        driver.table.deliverLate();
        assertThat(driver.ledger.openLeases()).isEqualTo(1);
        assertThat(bank.rows("lease/")).hasSize(1);
        bank.assertSumsAgree(BUDGET);
    }

    @Test(dataProvider = "faults")
    public void aSettlementWhoseWriteHasAnUnknownOutcomeIsMadeOnce(List<Fault> faults) {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        driver.table.next(faults.toArray(Fault[]::new));
        driver.settleDown(DAY);
        driver.table.deliverLate();
        driver.settleDown(DAY + 1);
        assertThat(bank.settled(BUDGET)).isEqualTo(60);
        assertThat(driver.items(sequence -> true))
                .containsOnly(driver.items(sequence -> true).get(0));
        bank.assertSumsAgree(BUDGET);
    }

    @Test(dataProvider = "faults")
    public void aLeaseBeingReturnedIsNotSpendable(List<Fault> faults) {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        driver.table.next(faults.toArray(Fault[]::new));
        driver.step(DAY);
        assertThat(driver.tryReserve(BUDGET, 100, DAY)).isInstanceOf(ReserveResult.NeedsLease.class);
    }

    @Test
    public void aClosedIncarnationCommitsNothing() {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        LeaseCloser closer = new LeaseCloser("entry-2~b");
        bank.table.transact(
                closer.markClosing(bank.row(RowKeys.entry("entry-1~a")).orElseThrow()));
        assertThat(driver.step(DAY)).containsInstanceOf(LedgerStep.FencedOff.class);
        assertThat(driver.tryReserve(BUDGET, 100, DAY)).isInstanceOf(ReserveResult.Fenced.class);
        assertThat(bank.settled(BUDGET)).isZero();
    }

    @Test
    public void aDelayedWriteOfAClosedIncarnationChangesNothing() {
        driver.table.next(LATE);
        driver.tryReserve(BUDGET, 100, 0);
        driver.step(0);
        bank.table.transact(new LeaseCloser("entry-2~b")
                .markClosing(bank.row(RowKeys.entry("entry-1~a")).orElseThrow()));
        driver.table.deliverLate();
        assertThat(bank.rows("lease/")).isEmpty();
        assertThat(bank.remaining(BUDGET)).isEqualTo(10_000);
    }

    @Test(dataProvider = "faults")
    public void anIncarnationWhoseFirstWriteGotNoAnswerIsGivenUp(List<Fault> faults) {
        LedgerDriver unconfirmedDriver = new LedgerDriver("entry-2~a", bank, LedgerSettings.patient());
        unconfirmedDriver.tryReserve(BUDGET, 100, 0);
        unconfirmedDriver.table.next(faults.get(0));
        unconfirmedDriver.settleDown(0);
        unconfirmedDriver.table.deliverLate();
        unconfirmedDriver.settleDown(0);
        assertThat(unconfirmedDriver.ledger.isFenced()).isTrue();
        assertThat(bank.rows("lease/entry-2~a/")).isEmpty();
    }

    @Test
    public void theFirstPlanTakesNoLeaseEvenIfARequestWaits() {
        LedgerDriver newDriver = new LedgerDriver("entry-2~a", bank, LedgerSettings.patient());
        newDriver.tryReserve(BUDGET, 100, 0);
        newDriver.step(0);
        assertThat(bank.rows("lease/entry-2~a/")).isEmpty();
        newDriver.step(0);
        assertThat(bank.rows("lease/entry-2~a/")).hasSize(1);
    }

    @Test
    public void attemptsOfUnknownOutcomeAreHeldAndNotBilled() {
        Reservation resolved = driver.reserve(BUDGET, 100, 0).orElseThrow();
        Reservation unresolved = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(resolved, 60, 0);
        driver.ledger.markUncertain(unresolved, "sidecar~1");
        driver.settleDown(DAY);
        assertThat(bank.settled(BUDGET)).isEqualTo(60);
        assertThat(bank.held(BUDGET)).isEqualTo(100);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void anAttemptOfUnknownOutcomeThatIsResolvedInTimeIsNotHeld() {
        Reservation unresolved = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.ledger.markUncertain(unresolved, "sidecar~1");
        assertThat(driver.ledger.uncertainAt("sidecar~1")).containsExactly(unresolved);
        driver.finish(unresolved, 30, 0);
        driver.settleDown(DAY);
        assertThat(bank.held(BUDGET)).isZero();
        assertThat(bank.settled(BUDGET)).isEqualTo(30);
    }

    @Test
    public void aStoppingLedgerTakesNoNewLeaseForPastDemand() {
        for (int i = 0; i < 20; i++) {
            driver.finish(driver.reserve(BUDGET, 100, i * 100L).orElseThrow(), 90, i * 100L);
        }
        driver.ledger.drainAll();
        driver.settleDown(2_500);
        assertThat(driver.ledger.openLeases()).isZero();
        assertThat(bank.remaining(BUDGET)).isEqualTo(10_000 - 20 * 90);
    }

    @Test(dataProvider = "faults")
    public void aLeaseTakenWhileStoppingIsReturned(List<Fault> faults) {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        driver.tryReserve(BUDGET, 9_000, 0);
        driver.table.next(faults.toArray(Fault[]::new));
        driver.step(0);
        driver.ledger.drainAll();
        driver.settleDown(2_500);
        driver.table.deliverLate();
        assertThat(bank.rows("lease/")).isEmpty();
        assertThat(bank.remaining(BUDGET)).isEqualTo(9_940);
    }

    @Test
    public void aStoppingLedgerIsNotSettledWhileALeaseMayStillBeTaken() {
        driver.tryReserve(BUDGET, 100, 0);
        driver.table.next(LOST_ANSWER);
        driver.step(0);
        driver.ledger.drainAll();
        assertThat(driver.ledger.isSettled()).isFalse();
        driver.settleDown(2_500);
        assertThat(driver.ledger.isSettled()).isTrue();
        assertThat(bank.remaining(BUDGET)).isEqualTo(10_000);
    }

    @Test
    public void runningAttemptsKeepTheirLeaseOpen() {
        assertThat(driver.reserve(BUDGET, 100, 0)).isPresent();
        driver.settleDown(DAY);
        assertThat(bank.leased(BUDGET)).isEqualTo(100);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void aRemainderTooSmallForOneRequestIsReturnedWhenTheBudgetRunsLow() {
        LedgerDriver first = new LedgerDriver("entry-1~x", bank, LedgerSettings.patient());
        LedgerDriver second = new LedgerDriver("entry-2~x", bank, LedgerSettings.patient());
        long spent = 0;
        for (int i = 0; i < 400; i++) {
            LedgerDriver one = i % 2 == 0 ? first : second;
            Optional<Reservation> reservation = one.reserve(BUDGET, 90, i * 100L);
            if (reservation.isPresent()) {
                one.finish(reservation.get(), 50, i * 100L);
                spent += 50;
            }
            first.step(i * 100L);
            second.step(i * 100L);
        }
        assertThat(spent).as("tokens spent of 10,000 granted").isGreaterThan(9_900);
        bank.assertSumsAgree(BUDGET);
    }

    @Test
    public void aSidecarIsUsableOnlyAfterTheTableNamesIt() {
        driver.step(0);
        driver.ledger.announcePeer("sidecar~1");
        driver.table.next(LOST_CALL);
        driver.step(1);
        assertThat(driver.ledger.mayUse("sidecar~1")).isFalse();
        driver.step(2);
        assertThat(driver.ledger.mayUse("sidecar~1")).isTrue();
        assertThat(LeaseCloser.peersOf(bank.row(RowKeys.peers("entry-1~a")).orElseThrow()))
                .containsExactly("sidecar~1");
    }

    @Test
    public void aSidecarThatLeftIsNamedWhileAnEarlierLeaseIsOpen() {
        driver.ledger.announcePeer("sidecar~1");
        Reservation reservation = driver.reserve(BUDGET, 100, 10).orElseThrow();
        driver.ledger.retirePeer("sidecar~1", 20);
        driver.step(DAY);
        assertThat(LeaseCloser.peersOf(bank.row(RowKeys.peers("entry-1~a")).orElseThrow()))
                .containsExactly("sidecar~1");
        driver.finish(reservation, 60, DAY);
        driver.settleDown(DAY);
        driver.settleDown(2 * DAY);
        assertThat(LeaseCloser.peersOf(bank.row(RowKeys.peers("entry-1~a")).orElseThrow()))
                .isEmpty();
    }

    @Test
    public void onlyHeartbeatsAreWrittenWhileIdle() {
        driver.step(0);
        long before = bank.table.transactions();
        for (int second = 1; second <= 60; second++) {
            driver.step(second * 1000L);
        }
        assertThat(bank.table.transactions() - before).isEqualTo(6);
    }

    @Test
    public void aPlanThatWasNotSentCanBeDiscarded() {
        Reservation reservation = driver.reserve(BUDGET, 100, 0).orElseThrow();
        driver.finish(reservation, 60, 0);
        assertThat(driver.ledger.plan(DAY)).isPresent();
        driver.ledger.abandonUnsent();
        driver.ledger.allowSettling(false);
        assertThat(driver.reserve(BUDGET, 100, DAY)).isPresent();
        bank.assertSumsAgree(BUDGET);
    }
}
