package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.streamring.direct.request.TokenSource.Outcome;
import org.streamring.kernel.store.RowKey;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an entry of a fleet of 33 with a store that takes 30 ms to write, in simulated time. */
public class TokenAllocatorTest extends SimulatedAllocator {

    /** Few enough that an entry that is no home entry keeps them. */
    private static final long KEPT = 1_500;

    /** Wait of a request for a larger lease. */
    private static final long MAX_WAIT_MILLIS = 130;

    private static final long ANSWER_MILLIS = TestLenders.ANSWER_MILLIS;
    /** Silence after which the connection to a lender is closed. */
    private static final long LATE_LENDER_WAIT_MILLIS = 1_500;

    /** Guards against losing a renewal that is requested during a write: such requests were refused after 190 ms. */
    @Test
    public void aRequestThatArrivesDuringAWriteIsServedByTheNextWrite() {
        advanceUntilAWriteBegins();
        advance(WRITE_MILLIS / 2);
        List<Outcome> outcomes = reserveLarge();
        advance(2 * WRITE_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** Guards against lenders that answer after 25 ms with the tokens they have by then: no borrower got enough. */
    @Test
    public void aBorrowerGetsALargeLoanInFullAfterTheStoreConfirmsTheLease() {
        List<Lenders.Loan> loans = requestLargeLoan();
        advance(ANSWER_MILLIS);
        assertThat(loans).extracting(Lenders.Loan::tokens).containsExactly(LARGE);
    }

    @Test
    public void aBorrowerGetsTheAvailableTokensInTimeIfTheStoreDoesNotAnswer() {
        rows.answers = false;
        List<Lenders.Loan> loans = requestLargeLoan();
        advance(ANSWER_MILLIS - 1);
        assertThat(loans).hasSize(1);
        assertThat(loans.get(0).tokens()).isBetween(1L, LARGE - 1);
    }

    /**
     * Guards against refusals after a restart: after all entries were lost, 407 requests were refused at once by
     * entries that were not yet connected to a lender.
     */
    @Test
    public void aRestartedEntryWaitsForItsFirstLender() {
        startEntry(false);
        rows.answers = false;
        List<Outcome> outcomes = reserveLarge();
        advance(100);
        assertThat(outcomes).isEmpty();
        lenders.connected = true;
        advance(30);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** Guards against refusing at once where this entry is a home entry of the account, as in all small fleets. */
    @Test
    public void aRestartedHomeEntryWaitsForItsFirstLenderOnceItNeedsOne() {
        startEntry(true);
        rows.answers = false;
        List<Outcome> outcomes = reserveLarge();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS - 50);
        assertThat(outcomes).isEmpty();
        lenders.connected = true;
        advance(30);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** A lender had to enlarge its lease first, and answered with 1,669 of 3,020 tokens while 9,463 were left. */
    @Test
    public void aHomeEntryAsksALenderAgainThatEnlargesItsLease() {
        startEntry(true);
        rows.answers = false;
        lenders.connected = true;
        lenders.tokens = 0;
        lenders.moreSoon = true;
        List<Outcome> outcomes = reserveLarge();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS - 50);
        assertThat(outcomes).isEmpty();
        lenders.tokens = LARGE;
        advance(30);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aHomeEntryRefusesInTimeWhileALenderPromisesMoreTokens() {
        startEntry(true);
        rows.answers = false;
        lenders.connected = true;
        lenders.tokens = 0;
        lenders.moreSoon = true;
        lenders.answerMillis = 50;
        List<Outcome> outcomes = reserveLarge();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS + EXPIRY_CHECK_INTERVAL_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void aRestartedEntryWithoutConnectionsRefusesSoon() {
        startEntry(false);
        rows.answers = false;
        List<Outcome> outcomes = reserveLarge();
        advance(230);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void anEntryThatHasLostAllConnectionsRefusesAtOnce() {
        startEntry(false);
        advance(9_000);
        rows.answers = false;
        advance(4_000);
        List<Outcome> outcomes = reserveLarge();
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @DataProvider
    public static Object[] lenderPausesMillis() {
        return new Object[] {LENDER_PAUSE_MILLIS, 4 * LENDER_PAUSE_MILLIS};
    }

    /** A lender was silent for a moment, and its 18,750 idle tokens arrived after the request had been refused. */
    @Test(dataProvider = "lenderPausesMillis")
    public void aRequestWaitsForALenderThatIsSilentForAMoment(long pauseMillis) {
        List<Outcome> outcomes = askLender(OptionalLong.of(pauseMillis), LARGE);
        advance(pauseMillis);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aLenderThatNeverAnswersDelaysARefusalByTheTimeAfterWhichItsConnectionIsTakenForSilent() {
        List<Outcome> outcomes = askLender(OptionalLong.empty(), LARGE);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS + LATE_LENDER_WAIT_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void aRequestIsRefusedSoonAfterTheConnectionToALateLenderIsLost() {
        List<Outcome> outcomes = askLender(OptionalLong.empty(), LARGE);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).isEmpty();
        advance(LENDER_PAUSE_MILLIS);
        assertThat(outcomes).isEmpty();
        lenders.lateAnswerExpected = false;
        advance(2 * EXPIRY_CHECK_INTERVAL_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void aRequestIsRefusedSoonAfterALateLenderAnsweredThatItHasNoTokens() {
        List<Outcome> outcomes = askLender(OptionalLong.of(3 * LENDER_PAUSE_MILLIS), 0);
        advance(3 * LENDER_PAUSE_MILLIS - 1);
        assertThat(outcomes).isEmpty();
        advance(2 * EXPIRY_CHECK_INTERVAL_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void aRefusalIsNotDelayedIfAllLendersHaveAnswered() {
        startEntry(false);
        rows.answers = false;
        lenders.connected = true;
        lenders.tokens = 0;
        List<Outcome> outcomes = reserveLarge();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    /** Two requests lacked 84 of 150 tokens each, as both counted the same 66, and two loans of 84 served only one. */
    @Test
    public void requestsThatBorrowAtOnceAndCountTheSameTokensAreBothServed() {
        startEntry(false);
        rows.answers = false;
        lenders.connected = true;
        lenders.loanMillis = 5;
        tokenAllocator.lender().takeBack(ACCOUNT, KEPT);
        List<Outcome> outcomes = reserveLarge();
        tokenAllocator.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED, Outcome.RESERVED);
        assertThat(lenders.lent).isEqualTo(2 * LARGE - KEPT);
    }

    /** A request of 150 tokens was refused while 161 were available, as nothing had happened since the cap rose. */
    @Test
    public void aRequestIsServedOnceTheUsageCapHasRisenDuringAStoreOutage() {
        rows.answers = false;
        advance(1_000);
        List<Outcome> outcomes = new ArrayList<>();
        tokenAllocator.reserve(ACCOUNT, ledger.available(ACCOUNT) + 1, outcomes::add);
        assertThat(outcomes).isEmpty();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** A request was refused at once that lacked 35 tokens, which the usage cap allowed some 30 ms later. */
    @Test
    public void aRequestWaitsForTokensThatTheUsageCapAllowsInTimeThoughNoLenderHasAny() {
        advanceUntilTheStoreIsLost();
        lenders.connected = true;
        lenders.tokens = 0;
        List<Outcome> outcomes = new ArrayList<>();
        long available = ledger.available(ACCOUNT);
        tokenAllocator.reserve(ACCOUNT, available + 1, outcomes::add);
        assertThat(outcomes).isEmpty();
        advance(MAX_WAIT_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aRequestIsRefusedAtOnceIfTheUsageCapDoesNotAllowItsTokensInTime() {
        advanceUntilTheStoreIsLost();
        lenders.connected = true;
        lenders.tokens = 0;
        List<Outcome> outcomes = new ArrayList<>();
        long availableInTime = ledger.availableAfter(ACCOUNT, MAX_WAIT_MILLIS);
        tokenAllocator.reserve(ACCOUNT, availableInTime + 1, outcomes::add);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void aLenderThatLentAllItsTokensIsNotAskedAgain() {
        startEntry(false);
        rows.answers = false;
        lenders.connected = true;
        lenders.loanMillis = 5;
        lenders.tokens = LARGE / 4;
        List<Outcome> outcomes = reserveLarge();
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
        assertThat(lenders.queries).isEqualTo(1);
    }

    /**
     * A request that ends returns its tokens, which serves the next request at once. The iteration that had served the
     * first request then served the next one again with other tokens. A request whose callback runs twice is sent
     * twice.
     */
    @Test
    public void aRequestIsServedOnceIfThePreviousOneEndsAtOnce() {
        List<Outcome> outcomes = new ArrayList<>();
        tokenAllocator.reserve(ACCOUNT, LARGE, outcome -> tokenAllocator.settle(ACCOUNT, LARGE, 0));
        tokenAllocator.reserve(ACCOUNT, LARGE, outcomes::add);
        advanceUntilAWriteBegins();
        advance(2 * WRITE_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** Guards against reporting a request as not run while it runs. */
    @Test
    public void aRequestServedWhileThePreviousOneExpiresIsNotRefusedAfterwards() {
        startEntry(false);
        rows.answers = false;
        List<Outcome> outcomes = new ArrayList<>();
        tokenAllocator.reserve(
                ACCOUNT, LARGE, outcome -> tokenAllocator.lender().takeBack(ACCOUNT, LARGE));
        tokenAllocator.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /**
     * Guards against an entry that is no home of the account and writes leases of its own into the row when it is asked
     * after both home entries: the four waits together exceeded the wait of the borrower.
     */
    @Test
    public void anEntryThatIsNoHomeEntryAnswersABorrowerAtOnce() {
        startEntry(false);
        advance(1_000);
        assertThat(requestLargeLoan()).extracting(Lenders.Loan::tokens).containsExactly(0L);
    }

    /**
     * After all of 33 entries were lost, the first write of each entry changed the rows of all accounts, so that hardly
     * any write was confirmed for five seconds. Home entries continued without leases, and 911 requests were refused.
     */
    @Test
    public void aRestartedEntryFirstWritesOnlyItsHomeAccounts() {
        List<String> accounts = fortyAccounts();
        startEntry(true, accounts, accounts);
        advanceUntilAWriteBegins();
        assertThat(rows.writes.get(0)).hasSizeLessThan(12);
        assertThat(heldByPredecessor(List.of(ACCOUNT))).isZero();
    }

    @Test
    public void leasesOfAPredecessorAreReclaimedWithinSecondsAFewAccountsAtATime() {
        List<String> accounts = fortyAccounts();
        startEntry(true, accounts, accounts);
        advance(8_000);
        assertThat(heldByPredecessor(accounts)).isZero();
        assertThat(rows.writes).allSatisfy(write -> assertThat(write).hasSizeLessThan(16));
    }

    private static List<String> fortyAccounts() {
        return IntStream.range(0, 40)
                .mapToObj(each -> each == 0 ? ACCOUNT : "account-" + each)
                .toList();
    }

    private List<Lenders.Loan> requestLargeLoan() {
        advance(WRITE_MILLIS);
        List<Lenders.Loan> loans = new ArrayList<>();
        tokenAllocator.lender().lend(ACCOUNT, LARGE, loans::add);
        return loans;
    }

    private long heldByPredecessor(List<String> accounts) {
        return accounts.stream()
                .map(account -> rows.value(new RowKey(LeaseRows.ACCOUNTS, "", account)))
                .flatMap(value -> PrepaidRowCodec.read(value).stream())
                .filter(row -> row.holding(PREDECESSOR).isPresent())
                .count();
    }
}
