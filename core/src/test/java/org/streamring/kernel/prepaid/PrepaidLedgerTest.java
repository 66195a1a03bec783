package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.prepaid.PrepaidLedger.Outcome;
import org.streamring.kernel.prepaid.PrepaidLedger.Proposal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PrepaidLedgerTest {
    private static final String ACCOUNT = "hospitals";
    private static final long LIMIT = 100_000;

    private static final long SILENCE_TIMEOUT_MILLIS =
            PrepaidSettings.DEFAULT.silenceTimeout().toMillis();
    private static final long FULL_RELEASE_MILLIS =
            PrepaidSettings.DEFAULT.cover().toMillis();
    private static final long HALF_RELEASED_MILLIS = (SILENCE_TIMEOUT_MILLIS + FULL_RELEASE_MILLIS) / 2;

    private PrepaidLedger ledger;
    private PrepaidRow row;

    @BeforeMethod
    public void setUp() {
        ledger = new PrepaidLedger("entry-1.a", PrepaidSettings.DEFAULT);
        row = PrepaidRow.EMPTY.withLimit(LIMIT, 1);
    }

    @Test
    public void nothingIsSpentBeforeALeaseIsConfirmed() {
        Proposal proposal = propose(10_000);
        assertThat(ledger.reserve(ACCOUNT, 1)).isEqualTo(Outcome.SHORT);

        ledger.confirmed(proposal);
        assertThat(ledger.reserve(ACCOUNT, 10_000)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void anEntryThatAcceptsNoMoreRequestsKeepsOnlyTokensInUse() {
        ledger.confirmed(propose(50_000));
        ledger.reserve(ACCOUNT, 7_000);
        ledger.releaseUnused();

        Proposal released = ledger.plan(ACCOUNT, row, 1);
        assertThat(released.granted()).isEqualTo(7_000);
        assertThat(released.row()).isPresent();
    }

    @Test
    public void aBorrowerHoldsNoLeaseOfItsOwn() {
        assertThat(ledger.planNonHome(ACCOUNT, row).row()).isEmpty();

        ledger.borrow(ACCOUNT, 1_500);
        assertThat(ledger.planNonHome(ACCOUNT, row).row()).isEmpty();
        assertThat(ledger.available(ACCOUNT)).isEqualTo(1_500);
    }

    /**
     * The row is written by the home entries. With a threshold relative to the limit, borrowers wrote it at the end of
     * every request.
     */
    @Test
    public void aSmallRemainderIsReturnedInAFrameAndNotThroughTheRow() {
        ledger.borrow(ACCOUNT, 1_500);
        assertThat(ledger.planNonHome(ACCOUNT, row).row()).isEmpty();
        assertThat(ledger.takeIdleForReturn(ACCOUNT, PrepaidLedger.idleAllowance(LIMIT, 33)))
                .isEqualTo(1_500 - LIMIT / 50 / 33);
    }

    @Test
    public void aBorrowerReturnsUnusedTokens() {
        row = row.withHolding("entry-2.a", new Holding(9_000, 9_000));
        ledger.borrow(ACCOUNT, 9_000);
        Proposal proposal = ledger.planNonHome(ACCOUNT, row);
        ledger.proposed(proposal);

        assertThat(proposal.row().orElseThrow().used()).isZero();
        assertThat(ledger.available(ACCOUNT)).isZero();
    }

    @Test
    public void aBorrowerWithoutALenderLeasesTheTokensOfARequest() {
        ledger.addWaiting(ACCOUNT, 700);
        Proposal proposal = ledger.planNonHome(ACCOUNT, row);
        ledger.proposed(proposal);
        ledger.confirmed(proposal);

        assertThat(proposal.granted()).isEqualTo(700);
        assertThat(ledger.reserve(ACCOUNT, 700)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void tokensLentByAHomeEntryCountAsItsDemand() {
        ledger.confirmed(propose(50_000));
        ledger.sample(0);
        ledger.lend(ACCOUNT, 20_000);
        ledger.sample(4_000);

        assertThat(ledger.plan(ACCOUNT, row, 4).granted()).isGreaterThan(20_000 + LIMIT / 4 / 4);
    }

    @Test
    public void spareTokensAreLentOnlyByLendWithSpare() {
        ledger.confirmed(propose(50_000));
        assertThat(ledger.lend(ACCOUNT, 1_000)).isEqualTo(1_000);
        assertThat(ledger.lendWithSpare(ACCOUNT, 1_000)).isEqualTo(2_000);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(47_000);
    }

    @Test
    public void aRefusedLeaseProvidesNoTokens() {
        Proposal proposal = propose(10_000);
        ledger.refused(proposal);
        assertThat(ledger.available(ACCOUNT)).isZero();
    }

    @Test
    public void aSmallerLeaseAppliesWhenItIsProposed() {
        ledger.confirmed(propose(50_000));
        Proposal smaller = ledger.plan(ACCOUNT, row, 1);
        assertThat(smaller.granted()).isLessThan(50_000);

        ledger.proposed(smaller);
        assertThat(ledger.available(ACCOUNT)).isLessThanOrEqualTo(smaller.granted());
    }

    @Test
    public void withoutAnAnswerTheSmallerLeaseApplies() {
        ledger.confirmed(propose(50_000));
        Proposal smaller = ledger.plan(ACCOUNT, row, 1);
        ledger.proposed(smaller);
        ledger.outcomeUnknown(smaller);
        Proposal next = ledger.plan(ACCOUNT, row, 1);
        ledger.proposed(next);
        ledger.refused(next);

        assertThat(ledger.available(ACCOUNT)).isLessThanOrEqualTo(smaller.granted());
    }

    @Test
    public void aLeaseWhoseWriteHasNoAnswerIsPlannedAgain() {
        Proposal proposal = propose(10_000);
        ledger.outcomeUnknown(proposal);
        assertThat(ledger.plan(ACCOUNT, row, 1).row()).isPresent();
    }

    @Test
    public void leasesNeverExceedUnheldTokens() {
        PrepaidRow nearlyUsed = row.withHolding("entry-2.b", new Holding(LIMIT - 100, 0));
        ledger.addWaiting(ACCOUNT, 10_000);
        Proposal proposal = ledger.plan(ACCOUNT, nearlyUsed, 2);
        assertThat(proposal.granted()).isLessThanOrEqualTo(100);
    }

    @Test
    public void aLoweredLimitLeavesOnlyUsedTokens() {
        ledger.confirmed(propose(50_000));
        ledger.reserve(ACCOUNT, 5_000);
        Proposal proposal = ledger.plan(ACCOUNT, row.withLimit(1_000, 2), 1);
        assertThat(proposal.granted()).isEqualTo(5_000);
    }

    @Test
    public void anOlderConfigurationDoesNotRaiseTheLimit() {
        PrepaidRow newer = row.withLimit(1_000, 5);
        assertThat(newer.withLimit(LIMIT, 4).limit()).isEqualTo(1_000);
    }

    @Test
    public void tokensAboveTheUsageCapAreUsableOnlyAfterTheSilenceTimeout() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        assertThat(ledger.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);

        ledger.setTimeSinceConfirmedWrite(SILENCE_TIMEOUT_MILLIS - 1);
        assertThat(ledger.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);
        ledger.setTimeSinceConfirmedWrite(HALF_RELEASED_MILLIS);
        assertThat(ledger.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.RESERVED);
    }

    @Test
    public void afterTheSilenceTimeoutTheRemainderOfALeaseIsReleasedEvenly() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        ledger.setTimeSinceConfirmedWrite(SILENCE_TIMEOUT_MILLIS);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(3_000);
        ledger.setTimeSinceConfirmedWrite(HALF_RELEASED_MILLIS);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(6_500);
        ledger.setTimeSinceConfirmedWrite(FULL_RELEASE_MILLIS);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(10_000);
        ledger.setTimeSinceConfirmedWrite(2 * FULL_RELEASE_MILLIS);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(10_000);
    }

    @Test
    public void aWitnessMustRecordTokensAboveTheUsageCapFirst() {
        ledger.witnesses().confirmed(Set.of("entry-2.a"));
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        ledger.setTimeSinceConfirmedWrite(SILENCE_TIMEOUT_MILLIS);
        assertThat(ledger.recordWouldHelp(ACCOUNT, 5_000)).isFalse();
        ledger.setTimeSinceConfirmedWrite(HALF_RELEASED_MILLIS);
        assertThat(ledger.reserve(ACCOUNT, 5_000)).isEqualTo(Outcome.SHORT);
        assertThat(ledger.recordWouldHelp(ACCOUNT, 5_000)).isTrue();

        ledger.addRecordedByWitness("entry-3.a", Map.of(ACCOUNT, 9_000L));
        assertThat(ledger.available(ACCOUNT)).isEqualTo(3_000);
        ledger.addRecordedByWitness("entry-2.a", Map.of(ACCOUNT, 6_000L));
        assertThat(ledger.available(ACCOUNT)).isEqualTo(6_000);
        ledger.addRecordedByWitness("entry-2.a", Map.of(ACCOUNT, 9_000L));
        assertThat(ledger.available(ACCOUNT)).as("not released yet").isEqualTo(6_500);
    }

    @Test
    public void tokensThatRequestsWaitForAreReportedToWitnesses() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, Mark.of(3_000)));
        ledger.addWaiting(ACCOUNT, 5_000);
        assertThat(ledger.tokensToRecord()).containsEntry(ACCOUNT, 5_000L);
    }

    @Test
    public void aSuccessorReclaimsTokensThatNoWitnessRecorded() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of("entry-2.a"), FULL_RELEASE_MILLIS);
        assertThat(PrepaidLedger.reclaimUnrecorded(ACCOUNT, held, marks, Map.of())
                        .orElseThrow()
                        .used())
                .isEqualTo(6_000);
        assertThat(PrepaidLedger.reclaimUnrecorded(ACCOUNT, held, marks, Map.of(ACCOUNT, 9_000L))
                        .orElseThrow()
                        .used())
                .isEqualTo(9_000);
    }

    @Test
    public void anUnansweredWriteWithoutAChangeOfTheRowIsNotRepeated() {
        ledger.confirmed(propose(10_000));
        Proposal unchanged = new Proposal(ACCOUNT, Optional.empty(), 10_000, Mark.of(10_000));
        ledger.proposed(unchanged);
        ledger.outcomeUnknown(unchanged);
        ledger.reserve(ACCOUNT, 6_000);
        ledger.addWaiting(ACCOUNT, 4_000);
        assertThat(ledger.plan(ACCOUNT, row, 4).row()).isEmpty();
    }

    @Test
    public void theTokensThatBecomeAvailableLaterAreThoseThatAreAvailableThen() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, new Mark(0, 1_000, 6_000)));
        for (long now = 0; now < FULL_RELEASE_MILLIS; now += 700) {
            ledger.setTimeSinceConfirmedWrite(now);
            long expected = ledger.availableAfter(ACCOUNT, 130);
            ledger.setTimeSinceConfirmedWrite(now + 130);
            assertThat(ledger.available(ACCOUNT)).as("after %d ms", now).isEqualTo(expected);
        }
    }

    @Test
    public void theUsageCapRisesWhileTheStoreIsSilent() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.of(row), 10_000, new Mark(0, 1_000, 6_000)));
        assertThat(ledger.available(ACCOUNT)).isEqualTo(1_000);

        ledger.setTimeSinceConfirmedWrite(SILENCE_TIMEOUT_MILLIS / 8);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(1_000);
        ledger.setTimeSinceConfirmedWrite(SILENCE_TIMEOUT_MILLIS / 2);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(3_000);
    }

    @Test
    public void settlingFreesUnusedTokens() {
        ledger.confirmed(propose(10_000));
        ledger.reserve(ACCOUNT, 10_000);
        ledger.settle(ACCOUNT, 10_000, 4_000);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(6_000);
    }

    @Test
    public void aRequestNeverUsesMoreThanItReserved() {
        ledger.confirmed(propose(10_000));
        ledger.reserve(ACCOUNT, 2_000);
        ledger.settle(ACCOUNT, 2_000, 3_000);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(8_000);
    }

    @Test
    public void lentTokensCountAsUsedByTheLenderAndAvailableToTheBorrower() {
        ledger.confirmed(propose(10_000));
        PrepaidLedger other = new PrepaidLedger("entry-2.b", PrepaidSettings.DEFAULT);

        long lent = ledger.lend(ACCOUNT, 1_000);
        other.borrow(ACCOUNT, lent);

        assertThat(lent).isBetween(1_000L, 10_000L);
        assertThat(ledger.available(ACCOUNT)).isEqualTo(10_000 - lent);
        assertThat(other.reserve(ACCOUNT, lent)).isEqualTo(Outcome.RESERVED);
        assertThat(other.reserve(ACCOUNT, 1)).isEqualTo(Outcome.SHORT);
    }

    @Test
    public void anEntryThatHasTooFewTokensLendsAllOfThem() {
        ledger.confirmed(new Proposal(ACCOUNT, Optional.empty(), 500, Mark.of(500)));
        assertThat(ledger.lend(ACCOUNT, 1_000)).isEqualTo(500);
        assertThat(ledger.available(ACCOUNT)).isZero();
        assertThat(ledger.lend(ACCOUNT, 1_000)).isZero();
    }

    @Test
    public void borrowedTokensAreNotCountedTwiceInTheRow() {
        ledger.borrow(ACCOUNT, 5_000);
        ledger.reserve(ACCOUNT, 5_000);
        ledger.settle(ACCOUNT, 5_000, 5_000);
        Proposal closing = ledger.planClose(ACCOUNT, row);
        assertThat(closing.granted()).isZero();
    }

    @Test
    public void unusedBorrowedTokensAreReturnedToTheRow() {
        PrepaidRow rowWithLender = row.withHolding("entry-2.b", new Holding(20_000, 20_000));
        ledger.borrow(ACCOUNT, 5_000);
        ledger.reserve(ACCOUNT, 2_000);
        PrepaidRow closed = ledger.planClose(ACCOUNT, rowWithLender).row().orElseThrow();
        assertThat(closed.used()).isEqualTo(17_000);
    }

    @Test
    public void closingKeepsUsedTokensAndFreesTheRemainder() {
        Proposal proposal = propose(10_000);
        ledger.confirmed(proposal);
        ledger.reserve(ACCOUNT, 4_000);
        PrepaidRow closed =
                ledger.planClose(ACCOUNT, proposal.row().orElseThrow()).row().orElseThrow();
        assertThat(closed.used()).isEqualTo(4_000);
        assertThat(closed.holdings()).isEmpty();
    }

    @Test
    public void aSuccessorReclaimsTokensAboveTheUsageCap() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks =
                new MarkRow("entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of(), FULL_RELEASE_MILLIS);
        PrepaidRow reclaimed = ledger.reclaim(ACCOUNT, held, marks, 2_000).orElseThrow();
        assertThat(reclaimed.used()).isEqualTo(6_000);
        assertThat(reclaimed.holdings()).isEmpty();
    }

    @Test
    public void anEarlierSuccessorReclaimsMoreTokens() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, new Mark(2_000, 3_000, 8_000)), Set.of(), FULL_RELEASE_MILLIS);

        long halfway = 1_000 + SILENCE_TIMEOUT_MILLIS / 2;
        assertThat(ledger.reclaim(ACCOUNT, held, marks, 1_000).orElseThrow().used())
                .isEqualTo(3_000);
        assertThat(ledger.reclaim(ACCOUNT, held, marks, halfway).orElseThrow().used())
                .isEqualTo(5_000);
    }

    @Test
    public void withoutWitnessesASuccessorReclaimsTokensThatWereNotReleased() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow(
                "entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of("entry-2.a"), FULL_RELEASE_MILLIS);
        PrepaidRow reclaimed = ledger.reclaimUnreleased(ACCOUNT, held, marks, 1_000 + HALF_RELEASED_MILLIS)
                .orElseThrow();
        assertThat(reclaimed.used()).isEqualTo(18_000);
        assertThat(reclaimed.holdings()).isEmpty();
        assertThat(ledger.reclaimUnreleased(ACCOUNT, held, marks, 1_000 + FULL_RELEASE_MILLIS))
                .as("all tokens may be used by then, and a witness may still answer")
                .isEmpty();
        assertThat(ledger.reclaimUnreleased(ACCOUNT, row, marks, 1_000)).isEmpty();
    }

    @Test
    public void nothingIsReclaimedWithoutWitnessesIfThePredecessorReleasedAllTokens() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(ACCOUNT, Mark.of(6_000)), Set.of(), 0);
        assertThat(ledger.reclaimUnreleased(ACCOUNT, held, marks, 1_000 + SILENCE_TIMEOUT_MILLIS))
                .isEmpty();
    }

    @Test
    public void aLeaseWithoutDemandHasALowUsageCap() {
        Proposal proposal = ledger.plan(ACCOUNT, row, 1);
        assertThat(proposal.cap().atOnce()).isLessThan(proposal.granted() / 4);
        assertThat(proposal.cap().atSilenceTimeout()).isLessThanOrEqualTo(proposal.granted());
    }

    /** Guards against refusing the requests of an account that was idle when the store fell silent. */
    @Test
    public void aBurstOnAnIdleLeaseIsServedUntilTheSilenceTimeout() {
        Proposal proposal = ledger.plan(ACCOUNT, row, 2);
        ledger.proposed(proposal);
        ledger.confirmed(proposal);

        long stepMillis = SILENCE_TIMEOUT_MILLIS / 100;
        long tokensPerStep = proposal.granted() / 4 / 100;
        for (long millis = 0; millis < SILENCE_TIMEOUT_MILLIS; millis += stepMillis) {
            ledger.setTimeSinceConfirmedWrite(millis);
            assertThat(ledger.reserve(ACCOUNT, tokensPerStep))
                    .as("after %d ms", millis)
                    .isEqualTo(Outcome.RESERVED);
        }
    }

    @Test
    public void anAccountWithoutAUsageCapCountsAsFullyUsed() {
        PrepaidRow held = row.withHolding("entry-1.old", new Holding(30_000, 2_000));
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(), Set.of(), FULL_RELEASE_MILLIS);
        assertThat(ledger.reclaim(ACCOUNT, held, marks, 2_000).orElseThrow().used())
                .isEqualTo(30_000);
    }

    @Test
    public void usageCapsApplyOnlyToSuccessorsThatStartSoon() {
        MarkRow marks = new MarkRow("entry-1.old", 1_000, Map.of(), Set.of(), FULL_RELEASE_MILLIS);
        assertThat(marks.stayedWithinCaps(4_999, 4_000)).isTrue();
        assertThat(marks.stayedWithinCaps(5_000, 4_000)).isFalse();
    }

    @Test
    public void anAccountIsExhaustedOnlyByCertainlySpentTokens() {
        PrepaidRow held = row.withHolding("entry-2.b", new Holding(LIMIT, 90_000));
        assertThat(PrepaidLedger.exhausted(held, 10_000)).isFalse();
        assertThat(PrepaidLedger.exhausted(held, 10_001)).isTrue();
    }

    private Proposal propose(long tokens) {
        PrepaidRow changed = row.withHolding("entry-1.a", new Holding(tokens, 0));
        Proposal proposal = new Proposal(ACCOUNT, Optional.of(changed), tokens, Mark.of(tokens));
        ledger.proposed(proposal);
        row = changed;
        return proposal;
    }
}
