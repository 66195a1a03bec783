package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DurableMarkTest {
    private static final long PATIENCE = 3_200;
    private static final Mark FIRST = new Mark(0, 100, 1_000);
    private static final Mark HIGHER = new Mark(400, 700, 2_000);
    private static final Mark LOWER = new Mark(300, 350, 400);

    private DurableMark mark;

    @BeforeMethod
    public void setUp() {
        mark = new DurableMark();
        mark.proposed(FIRST);
        mark.confirmed(FIRST);
    }

    @Test
    public void aRowOnItsWayAddsNothingToTheOneBefore() {
        mark.proposed(HIGHER);
        assertThat(usable(0, PATIENCE / 2)).isEqualTo(500);
        mark.confirmed(HIGHER);
        assertThat(usable(0, 0)).isEqualTo(700);
    }

    /** The row before has risen to 500, but the new one may be in force and has not risen yet. */
    @Test
    public void aRowOnItsWayBindsAtOnce() {
        mark.proposed(LOWER);
        assertThat(usable(0, PATIENCE / 2)).isEqualTo(350);
        mark.refused();
        assertThat(usable(PATIENCE / 2, PATIENCE / 2)).isEqualTo(500);
    }

    @Test
    public void afterALostAnswerTheLeastCountsUntilARowIsConfirmed() {
        mark.proposed(LOWER);
        mark.unanswered();
        mark.proposed(HIGHER);
        mark.refused();
        assertThat(mark.least()).isEqualTo(new Mark(0, 100, 400));
        assertThat(usable(PATIENCE / 2, PATIENCE / 2)).isEqualTo(200);
        mark.proposed(HIGHER);
        mark.confirmed(HIGHER);
        assertThat(usable(0, 0)).isEqualTo(700);
    }

    private long usable(long newestMillis, long inForceMillis) {
        return mark.usable(new StoreSilence(newestMillis, inForceMillis, PATIENCE, 10_000));
    }
}
