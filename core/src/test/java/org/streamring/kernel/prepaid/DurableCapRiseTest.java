package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.prepaid.DurableCapRise.RiseStart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DurableCapRiseTest {
    private static final RiseStart FIRST = new RiseStart(100, 1_100);
    private static final RiseStart SECOND = new RiseStart(900, 1_900);
    private static final RiseStart THIRD = new RiseStart(1_700, 2_700);

    private DurableCapRise rise;

    @BeforeMethod
    public void setUp() {
        rise = new DurableCapRise();
        rise.proposed(FIRST);
        rise.confirmed();
    }

    @Test
    public void aRowContainsTheTimeAtWhichItIsSent() {
        assertThat(rise.proposed(SECOND)).isEqualTo(SECOND);
        assertThat(rise.usable()).as("the row may be in force").isEqualTo(SECOND);
        rise.confirmed();
        assertThat(rise.usable()).isEqualTo(SECOND);
    }

    @Test
    public void afterARefusedRowCapsRiseFromTheTimeOfThePreviousRow() {
        rise.proposed(SECOND);
        rise.refused();
        assertThat(rise.usable()).isEqualTo(FIRST);
    }

    @Test
    public void furtherRowsRepeatTheTimeWhileAnOutcomeIsUnknown() {
        rise.proposed(SECOND);
        rise.outcomeUnknown();
        assertThat(rise.proposed(THIRD)).isEqualTo(SECOND);
        rise.refused();
        assertThat(rise.usable()).isEqualTo(SECOND);
        rise.proposed(THIRD);
        rise.confirmed();
        assertThat(rise.usable()).isEqualTo(SECOND);
        assertThat(rise.proposed(THIRD)).isEqualTo(THIRD);
    }
}
