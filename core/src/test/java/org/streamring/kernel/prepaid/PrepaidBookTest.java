package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.prepaid.PrepaidBook.Outcome;
import org.streamring.kernel.prepaid.PrepaidBook.Proposal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PrepaidBookTest {
    private static final String ACCOUNT = "hospitals";
    private static final long LIMIT = 100_000;

    private static final long SILENCE_TIMEOUT_MILLIS =
            PrepaidSettings.DEFAULT.patience().toMillis();
    private static final long FULL_RELEASE_MILLIS =
            PrepaidSettings.DEFAULT.cover().toMillis();
    private static final long HALF_RELEASED_MILLIS = (SILENCE_TIMEOUT_MILLIS + FULL_RELEASE_MILLIS) / 2;

    private PrepaidBook book;
    private PrepaidRow row;

    @BeforeMethod
    public void setUp() {
        book = new PrepaidBook("entry-1.a", PrepaidSettings.DEFAULT);
        row = PrepaidRow.EMPTY.withLimit(LIMIT, 1);
    }

    @Test
    public void nothingIsSpentBeforeALeaseIsConfirmed() {
        Proposal proposal = propose(10_000);
        assertThat(book.reserve(ACCOUNT, 1)).isEqualTo(Outcome.SHORT);

        book.confirmed(proposal);
        assertThat(book.reserve(ACCOUNT, 10_000)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void anEntryThatAcceptsNoMoreRequestsKeepsOnlyTokensInUse() {
        book.confirmed(propose(50_000));
        book.reserve(ACCOUNT, 7_000);
        book.stopTaking();

        Proposal released = book.plan(ACCOUNT, row, 1);
        assertThat(released.granted()).isEqualTo(7_000);
        assertThat(released.row()).isPresent();
    }

    @Test
    public void aBorrowerHoldsNoLeaseOfItsOwn() {
        assertThat(book.planBorrower(ACCOUNT, row).row()).isEmpty();

        book.borrow(ACCOUNT, 1_500);
        assertThat(book.planBorrower(ACCOUNT, row).row()).isEmpty();
        assertThat(book.available(ACCOUNT)).isEqualTo(1_500);
    }

    /**
     * The row is written by the home entries. With a threshold relative to the limit, borrowers wrote it at the end of
     * every request.
     */
    @Test
    public void aSmallRemainderIsReturnedInAFrameAndNotThroughTheRow() {
        book.borrow(ACCOUNT, 1_500);
        assertThat(book.planBorrower(ACCOUNT, row).row()).isEmpty();
        assertThat(book.giveUpIdle(ACCOUNT, PrepaidBook.kept(LIMIT, 33))).isEqualTo(1_500 - LIMIT / 50 / 33);
    }

    @Test
    public void aBorrowerReturnsUnusedTokens() {
        row = row.withHolding("entry-2.a", new Holding(9_000, 9_000));
        book.borrow(ACCOUNT, 9_000);
        Proposal proposal = book.planBorrower(ACCOUNT, row);
        book.proposed(proposal);

        assertThat(proposal.row().orElseThrow().used()).isZero();
        assertThat(book.available(ACCOUNT)).isZero();
    }

    @Test
    public void aBorrowerWithoutALenderLeasesTheTokensOfARequest() {
        book.addWaiting(ACCOUNT, 700);
        Proposal proposal = book.planBorrower(ACCOUNT, row);
        book.proposed(proposal);
        book.confirmed(proposal);

        assertThat(proposal.granted()).isEqualTo(700);
        assertThat(book.reserve(ACCOUNT, 700)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void tokensLentByAHomeEntryCountAsItsDemand() {
        book.confirmed(propose(50_000));
        book.sample(0);
        book.lend(ACCOUNT, 20_000);
        book.sample(4_000);

        assertThat(book.plan(ACCOUNT, row, 4).granted()).isGreaterThan(20_000 + LIMIT / 4 / 4);
    }

    @Test
    public void spareTokensAreLentOnlyByLendWithSpare() {
        book.confirmed(propose(50_000));
        assertThat(book.lend(ACCOUNT, 1_000)).isEqualTo(1_000);
        assertThat(book.lendWithSpare(ACCOUNT, 1_000)).isEqualTo(2_000);
        assertThat(book.available(ACCOUNT)).isEqualTo(47_000);
    }

    @Test
    public void aRefusedLeaseProvidesNoTokens() {
        Proposal proposal = propose(10_000);
        book.refused(proposal);
        assertThat(book.available(ACCOUNT)).isZero();
    }

    @Test
    public void aSmallerLeaseAppliesWhenItIsProposed() {
        book.confirmed(propose(50_000));
        Proposal smaller = book.plan(ACCOUNT, row, 1);
        assertThat(smaller.granted()).isLessThan(50_000);

        book.proposed(smaller);
        assertThat(book.available(ACCOUNT)).isLessThanOrEqualTo(smaller.granted());
    }

    @Test
    public void withoutAnAnswerTheSmallerLeaseApplies() {
        book.confirmed(propose(50_000));
        Proposal smaller = book.plan(ACCOUNT, row, 1);
        book.proposed(smaller);
        book.unanswered(smaller);
        Proposal next = book.plan(ACCOUNT, row, 1);
        book.proposed(next);
        book.refused(next);

        assertThat(book.available(ACCOUNT)).isLessThanOrEqualTo(smaller.granted());
    }

    @Test
    public void aLeaseWhoseWriteHasNoAnswerIsPlannedAgain() {
        Proposal proposal = propose(10_000);
        book.unanswered(proposal);
        assertThat(book.plan(ACCOUNT, row, 1).row()).isPresent();
    }

    @Test
    public void leasesNeverExceedUnheldTokens() {
        PrepaidRow nearlyUsed = row.withHolding("entry-2.b", new Holding(LIMIT - 100, 0));
        book.addWaiting(ACCOUNT, 10_000);
        Proposal proposal = book.plan(ACCOUNT, nearlyUsed, 2);
        assertThat(proposal.granted()).isLessThanOrEqualTo(100);
    }

    @Test
    public void aLoweredLimitLeavesOnlyUsedTokens() {
        book.confirmed(propose(50_000));
        book.reserve(ACCOUNT, 5_000);
        Proposal proposal = book.plan(ACCOUNT, row.withLimit(1_000, 2), 1);
        assertThat(proposal.granted()).isEqualTo(5_000);
    }

    @Test
    public void anOlderConfigurationDoesNotRaiseTheLimit() {
        PrepaidRow newer = row.withLimit(1_000, 5);
        assertThat(newer.withLimit(LIMIT, 4).limit()).isEqualTo(1_000);
    }

    @Test
    public void tokensAboveTheUsageCapAreUsableOnlyAfterTheSilenceTimeout() {
        book.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        assertThat(book.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);

        book.storeSilentFor(SILENCE_TIMEOUT_MILLIS - 1);
        assertThat(book.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);
        book.storeSilentFor(HALF_RELEASED_MILLIS);
        assertThat(book.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void afterTheSilenceTimeoutTheRemainderOfALeaseIsReleasedEvenly() {
        book.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        book.storeSilentFor(SILENCE_TIMEOUT_MILLIS);
        assertThat(book.available(ACCOUNT)).isEqualTo(3_000);
        book.storeSilentFor(HALF_RELEASED_MILLIS);
        assertThat(book.available(ACCOUNT)).isEqualTo(6_500);
        book.storeSilentFor(FULL_RELEASE_MILLIS);
        assertThat(book.available(ACCOUNT)).isEqualTo(10_000);
        book.storeSilentFor(2 * FULL_RELEASE_MILLIS);
        assertThat(book.available(ACCOUNT)).isEqualTo(10_000);
    }

    @Test
    public void aWitnessMustRecordTokensAboveTheUsageCapFirst() {
        book.witnesses().confirmed(Set.of("entry-2.a"));
        book.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        book.storeSilentFor(SILENCE_TIMEOUT_MILLIS);
        assertThat(book.noteWouldHelp(ACCOUNT, 5_000)).isFalse();
        book.storeSilentFor(HALF_RELEASED_MILLIS);
        assertThat(book.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);
        assertThat(book.noteWouldHelp(ACCOUNT, 5_000)).isTrue();

        book.noted("entry-3.a", Map.of(ACCOUNT, 9_000L));
        assertThat(book.available(ACCOUNT)).isEqualTo(3_000);
        book.noted("entry-2.a", Map.of(ACCOUNT, 6_000L));
        assertThat(book.available(ACCOUNT)).isEqualTo(6_000);
        book.noted("entry-2.a", Map.of(ACCOUNT, 9_000L));
        assertThat(book.available(ACCOUNT)).as("not released yet").isEqualTo(6_500);
    }

    @Test
    public void tokensThatRequestsWaitForAreReportedToWitnesses() {
        book.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        book.addWaiting(ACCOUNT, 5_000);
        assertThat(book.wantedNotes()).containsEntry(ACCOUNT, 5_000L);
    }

    @Test
    public void aSuccessorReclaimsTokensThatNoWitnessRecorded() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of("entry-2.a"), FULL_RELEASE_MILLIS);
        assertThat(PrepaidBook.reclaimNoted(ACCOUNT, held, marks, Map.of())
                        .orElseThrow()
                        .used())
                .isEqualTo(6_000);
        assertThat(PrepaidBook.reclaimNoted(ACCOUNT, held, marks, Map.of(ACCOUNT, 9_000L))
                        .orElseThrow()
                        .used())
                .isEqualTo(9_000);
    }

    @Test
    public void anUnansweredWriteWithoutAChangeOfTheRowIsNotRepeated() {
        book.confirmed(propose(10_000));
        Proposal unchanged = new Proposal(ACCOUNT, Optional.empty(), 10_000, Mark.of(10_000));
        book.proposed(unchanged);
        book.unanswered(unchanged);
        book.reserve(ACCOUNT, 6_000);
        book.addWaiting(ACCOUNT, 4_000);
        assertThat(book.plan(ACCOUNT, row, 4).row()).isEmpty();
    }

    @Test
    public void theUsageCapRisesWhileTheStoreIsSilent() {
        book.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, new Mark(0, 1_000, 6_000)));
        assertThat(book.available(ACCOUNT)).isEqualTo(1_000);

        book.storeSilentFor(SILENCE_TIMEOUT_MILLIS / 8);
        assertThat(book.available(ACCOUNT)).isEqualTo(1_000);
        book.storeSilentFor(SILENCE_TIMEOUT_MILLIS / 2);
        assertThat(book.available(ACCOUNT)).isEqualTo(3_000);
    }

    @Test
    public void settlingFreesUnusedTokens() {
        book.confirmed(propose(10_000));
        book.reserve(ACCOUNT, 10_000);
        book.settle(ACCOUNT, 10_000, 4_000);
        assertThat(book.available(ACCOUNT)).isEqualTo(6_000);
    }

    @Test
    public void aRequestNeverUsesMoreThanItReserved() {
        book.confirmed(propose(10_000));
        book.reserve(ACCOUNT, 2_000);
        book.settle(ACCOUNT, 2_000, 3_000);
        assertThat(book.available(ACCOUNT)).isEqualTo(8_000);
    }

    @Test
    public void lentTokensCountAsUsedByTheLenderAndAvailableToTheBorrower() {
        book.confirmed(propose(10_000));
        PrepaidBook other = new PrepaidBook("entry-2.b", PrepaidSettings.DEFAULT);

        long lent = book.lend(ACCOUNT, 1_000);
        other.borrow(ACCOUNT, lent);

        assertThat(lent).isBetween(1_000L, 10_000L);
        assertThat(book.available(ACCOUNT)).isEqualTo(10_000 - lent);
        assertThat(other.reserve(ACCOUNT, lent)).isEqualTo(Outcome.RESERVED);
        assertThat(other.reserve(ACCOUNT, 1)).isEqualTo(Outcome.SHORT);
    }

    @Test
    public void anEntryThatHasTooFewTokensLendsAllOfThem() {
        book.confirmed(new Proposal(ACCOUNT, Optional.empty(), 500, Mark.of(500)));
        assertThat(book.lend(ACCOUNT, 1_000)).isEqualTo(500);
        assertThat(book.available(ACCOUNT)).isZero();
        assertThat(book.lend(ACCOUNT, 1_000)).isZero();
    }

    @Test
    public void borrowedTokensAreNotCountedTwiceInTheRow() {
        book.borrow(ACCOUNT, 5_000);
        book.reserve(ACCOUNT, 5_000);
        book.settle(ACCOUNT, 5_000, 5_000);
        Proposal closing = book.planClose(ACCOUNT, row);
        assertThat(closing.granted()).isZero();
    }

    @Test
    public void unusedBorrowedTokensAreReturnedToTheRow() {
        PrepaidRow rowWithLender = row.withHolding("entry-2.b", new Holding(20_000, 20_000));
        book.borrow(ACCOUNT, 5_000);
        book.reserve(ACCOUNT, 2_000);
        PrepaidRow closed = book.planClose(ACCOUNT, rowWithLender).row().orElseThrow();
        assertThat(closed.used()).isEqualTo(17_000);
    }

    @Test
    public void closingKeepsUsedTokensAndFreesTheRemainder() {
        Proposal proposal = propose(10_000);
        book.confirmed(proposal);
        book.reserve(ACCOUNT, 4_000);
        PrepaidRow closed =
                book.planClose(ACCOUNT, proposal.row().orElseThrow()).row().orElseThrow();
        assertThat(closed.used()).isEqualTo(4_000);
        assertThat(closed.holdings()).isEmpty();
    }

    @Test
    public void aSuccessorReclaimsTokensAboveTheUsageCap() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks =
                new MarkRow("entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of(), FULL_RELEASE_MILLIS);
        PrepaidRow reclaimed = book.reclaim(ACCOUNT, held, marks, 2_000).orElseThrow();
        assertThat(reclaimed.used()).isEqualTo(6_000);
        assertThat(reclaimed.holdings()).isEmpty();
    }

    @Test
    public void anEarlierSuccessorReclaimsMoreTokens() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, new Mark(2_000, 3_000, 8_000)), Set.of(), FULL_RELEASE_MILLIS);

        long halfway = 1_000 + SILENCE_TIMEOUT_MILLIS / 2;
        assertThat(book.reclaim(ACCOUNT, held, marks, 1_000).orElseThrow().used())
                .isEqualTo(3_000);
        assertThat(book.reclaim(ACCOUNT, held, marks, halfway).orElseThrow().used())
                .isEqualTo(5_000);
    }

    @Test
    public void withoutWitnessesASuccessorReclaimsTokensThatWereNotReleased() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of("entry-2.a"), FULL_RELEASE_MILLIS);
        PrepaidRow reclaimed = book.reclaimReleased(ACCOUNT, held, marks, 1_000 + HALF_RELEASED_MILLIS)
                .orElseThrow();
        assertThat(reclaimed.used()).isEqualTo(18_000);
        assertThat(reclaimed.holdings()).isEmpty();
        assertThat(book.reclaimReleased(ACCOUNT, held, marks, 1_000 + FULL_RELEASE_MILLIS))
                .as("all tokens may be used by then, and a witness may still answer")
                .isEmpty();
        assertThat(book.reclaimReleased(ACCOUNT, row, marks, 1_000)).isEmpty();
    }

    @Test
    public void nothingIsReclaimedWithoutWitnessesIfThePredecessorReleasedAllTokens() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of(), 0);
        assertThat(book.reclaimReleased(ACCOUNT, held, marks, 1_000 + SILENCE_TIMEOUT_MILLIS))
                .isEmpty();
    }

    @Test
    public void aLeaseWithoutDemandHasALowUsageCap() {
        Proposal proposal = book.plan(ACCOUNT, row, 1);
        assertThat(proposal.mark().atOnce()).isLessThan(proposal.granted() / 4);
        assertThat(proposal.mark().atPatience()).isLessThanOrEqualTo(proposal.granted());
    }

    @Test
    public void anAccountWithoutAUsageCapCountsAsFullyUsed() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(), Set.of(), FULL_RELEASE_MILLIS);
        assertThat(book.reclaim(ACCOUNT, held, marks, 2_000).orElseThrow().used())
                .isEqualTo(30_000);
    }

    @Test
    public void usageCapsApplyOnlyToSuccessorsThatStartSoon() {
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(), Set.of(), FULL_RELEASE_MILLIS);
        assertThat(marks.heldBy(4_999, 4_000)).isTrue();
        assertThat(marks.heldBy(5_000, 4_000)).isFalse();
    }

    @Test
    public void anAccountIsExhaustedOnlyByCertainlySpentTokens() {
        PrepaidRow held = row.withHolding("entry-2.b", new Holding(LIMIT, 90_000));
        assertThat(PrepaidBook.exhausted(held, 10_000)).isFalse();
        assertThat(PrepaidBook.exhausted(held, 10_001)).isTrue();
    }

    private Proposal propose(long tokens) {
        PrepaidRow changed = row.withHolding("entry-1.a", new Holding(tokens, 0));
        Proposal proposal = new Proposal(ACCOUNT, Optional.of(changed), tokens, Mark.of(tokens));
        book.proposed(proposal);
        row = changed;
        return proposal;
    }
}
