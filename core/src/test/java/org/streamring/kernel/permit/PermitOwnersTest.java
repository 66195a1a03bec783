package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;
import org.testng.annotations.Test;

public class PermitOwnersTest {
    private static final String LIFE = "i-1@1";
    private static final Set<String> ALL = Set.of("a", "b", "c", "d");
    private static final List<String> ORDER = RendezvousHash.order(LIFE, ALL);

    @Test
    public void noEntryOwnsPermitsBeforeItKnowsTheOthers() {
        PermitOwners owners = new PermitOwners("a");
        assertThat(owners.of(LIFE)).isEmpty();
        assertThat(owners.share(LIFE)).isZero();
    }

    @Test
    public void theFirstIssuesTheWholeLimitOnceItsViewHasSettled() {
        PermitOwners owners = new PermitOwners(ORDER.get(0));
        owners.entries(ALL, false, 0);
        assertThat(owners.share(LIFE)).isEqualTo(PermitOwners.SMALL_SHARE);
        owners.entries(ALL, false, PermitOwners.SETTLED_MILLIS + 1);
        assertThat(owners.share(LIFE)).isEqualTo(1);
    }

    @Test
    public void theSecondIssuesAPartAndOthersNothing() {
        assertThat(settled(ORDER.get(1)).share(LIFE)).isEqualTo(PermitOwners.SMALL_SHARE);
        assertThat(settled(ORDER.get(2)).share(LIFE)).isZero();
    }

    @Test
    public void anEntryThatReachesNoOtherIssuesAPart() {
        PermitOwners owners = settled(ORDER.get(0));
        owners.entries(ALL, true, 20_001);
        assertThat(owners.share(LIFE)).isEqualTo(PermitOwners.SMALL_SHARE);
    }

    @Test
    public void oneThatHasBecomeTheFirstIssuesAPartUntilAllViewsHaveFollowed() {
        PermitOwners owners = settled(ORDER.get(1));
        Set<String> left = Set.of(ORDER.get(1), ORDER.get(2), ORDER.get(3));
        owners.entries(left, false, 20_000);
        assertThat(owners.share(LIFE)).isEqualTo(PermitOwners.SMALL_SHARE);
        owners.entries(left, false, 20_001 + PermitOwners.SETTLED_MILLIS);
        assertThat(owners.share(LIFE)).isEqualTo(1);
    }

    @Test
    public void aChangeThatLeavesTheFirstInItsPlaceCostsItNothing() {
        PermitOwners owners = settled(ORDER.get(0));
        owners.entries(Set.of(ORDER.get(0), ORDER.get(1)), false, 20_000);
        assertThat(owners.share(LIFE)).isEqualTo(1);
    }

    private static PermitOwners settled(String own) {
        PermitOwners owners = new PermitOwners(own);
        owners.entries(ALL, false, 0);
        owners.entries(ALL, false, PermitOwners.SETTLED_MILLIS + 1);
        return owners;
    }
}
