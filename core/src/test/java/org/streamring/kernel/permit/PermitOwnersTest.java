package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;
import org.testng.annotations.Test;

public class PermitOwnersTest {
    private static final String INCARNATION = "i-1@1";
    private static final Set<String> ENTRIES = Set.of("a", "b", "c", "d");
    private static final List<String> ENTRIES_BY_RANK = RendezvousHash.order(INCARNATION, ENTRIES);

    @Test
    public void anEntryOwnsNoPermitsBeforeItHasReadTheMembers() {
        PermitOwners owners = new PermitOwners("a");
        assertThat(owners.ownersOf(INCARNATION)).isEmpty();
        assertThat(owners.shareOf(INCARNATION)).isZero();
    }

    @Test
    public void theFirstOwnerIssuesTheWholeLimitAfterViewPropagation() {
        PermitOwners owners = new PermitOwners(ENTRIES_BY_RANK.get(0));
        owners.setEntries(ENTRIES, false, 0);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(PermitOwners.SMALL_SHARE);
        owners.setEntries(ENTRIES, false, PermitOwners.VIEW_PROPAGATION_MILLIS + 1);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(1);
    }

    @Test
    public void theSecondOwnerIssuesTheSmallShareAndOtherEntriesNothing() {
        assertThat(ownersAfterViewPropagation(ENTRIES_BY_RANK.get(1)).shareOf(INCARNATION))
                .isEqualTo(PermitOwners.SMALL_SHARE);
        assertThat(ownersAfterViewPropagation(ENTRIES_BY_RANK.get(2)).shareOf(INCARNATION))
                .isZero();
    }

    @Test
    public void anIsolatedOwnerIssuesTheSmallShare() {
        PermitOwners owners = ownersAfterViewPropagation(ENTRIES_BY_RANK.get(0));
        owners.setEntries(ENTRIES, true, 20_001);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(PermitOwners.SMALL_SHARE);
    }

    @Test
    public void aNewFirstOwnerIssuesTheSmallShareUntilViewPropagation() {
        PermitOwners owners = ownersAfterViewPropagation(ENTRIES_BY_RANK.get(1));
        Set<String> remaining = Set.of(ENTRIES_BY_RANK.get(1), ENTRIES_BY_RANK.get(2), ENTRIES_BY_RANK.get(3));
        owners.setEntries(remaining, false, 20_000);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(PermitOwners.SMALL_SHARE);
        owners.setEntries(remaining, false, 20_001 + PermitOwners.VIEW_PROPAGATION_MILLIS);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(1);
    }

    @Test
    public void aMembershipChangeThatKeepsTheFirstOwnerKeepsItsShare() {
        PermitOwners owners = ownersAfterViewPropagation(ENTRIES_BY_RANK.get(0));
        owners.setEntries(Set.of(ENTRIES_BY_RANK.get(0), ENTRIES_BY_RANK.get(1)), false, 20_000);
        assertThat(owners.shareOf(INCARNATION)).isEqualTo(1);
    }

    @Test
    public void theTimeUntilTheWholeLimitIsKnownToTheFirstOwnerAlone() {
        long propagation = PermitOwners.VIEW_PROPAGATION_MILLIS;
        PermitOwners first = new PermitOwners(ENTRIES_BY_RANK.get(0));
        first.setEntries(ENTRIES, false, 100);
        assertThat(first.millisUntilWholeLimit(INCARNATION, 300)).hasValue(propagation - 200);
        first.setEntries(ENTRIES, true, 400);
        assertThat(first.millisUntilWholeLimit(INCARNATION, 400)).isEmpty();
        first.setEntries(ENTRIES, false, 101 + propagation);
        assertThat(first.millisUntilWholeLimit(INCARNATION, 101 + propagation)).isEmpty();
        PermitOwners second = new PermitOwners(ENTRIES_BY_RANK.get(1));
        second.setEntries(ENTRIES, false, 100);
        assertThat(second.millisUntilWholeLimit(INCARNATION, 300)).isEmpty();
    }

    private static PermitOwners ownersAfterViewPropagation(String own) {
        PermitOwners owners = new PermitOwners(own);
        owners.setEntries(ENTRIES, false, 0);
        owners.setEntries(ENTRIES, false, PermitOwners.VIEW_PROPAGATION_MILLIS + 1);
        return owners;
    }
}
