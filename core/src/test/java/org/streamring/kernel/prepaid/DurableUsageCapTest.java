package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DurableUsageCapTest {
    private static final long SILENCE_TIMEOUT = 3_200;
    private static final Mark FIRST = new Mark(0, 100, 1_000);
    private static final Mark HIGHER = new Mark(400, 700, 2_000);
    private static final Mark LOWER = new Mark(300, 350, 400);

    private DurableUsageCap cap;

    @BeforeMethod
    public void setUp() {
        cap = new DurableUsageCap();
        cap.proposed(FIRST);
        cap.confirmed(FIRST);
    }

    @Test
    public void anUnconfirmedRowDoesNotRaiseThePreviousCap() {
        cap.proposed(HIGHER);
        assertThat(usable(0, SILENCE_TIMEOUT / 2)).isEqualTo(500);
        cap.confirmed(HIGHER);
        assertThat(usable(0, 0)).isEqualTo(700);
    }

    /**
     * The cap of the previous row has risen to 500, but the new row may already be in the store, and its cap has not
     * risen yet.
     */
    @Test
    public void anUnconfirmedRowLowersTheCapImmediately() {
        cap.proposed(LOWER);
        assertThat(usable(0, SILENCE_TIMEOUT / 2)).isEqualTo(350);
        cap.refused();
        assertThat(usable(SILENCE_TIMEOUT / 2, SILENCE_TIMEOUT / 2)).isEqualTo(500);
    }

    @Test
    public void afterALostAnswerTheLowestCapAppliesUntilARowIsConfirmed() {
        cap.proposed(LOWER);
        cap.unanswered();
        cap.proposed(HIGHER);
        cap.refused();
        assertThat(cap.lowest()).isEqualTo(new Mark(0, 100, 400));
        assertThat(usable(SILENCE_TIMEOUT / 2, SILENCE_TIMEOUT / 2)).isEqualTo(200);
        cap.proposed(HIGHER);
        cap.confirmed(HIGHER);
        assertThat(usable(0, 0)).isEqualTo(700);
    }

    private long usable(long newestMillis, long inForceMillis) {
        return cap.usable(new StoreSilence(newestMillis, inForceMillis, SILENCE_TIMEOUT, 10_000));
    }
}
