package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowKeys;
import org.testng.annotations.AfterMethod;

/** Base class of tests that run a fleet. Each test starts its own fleet, which is closed after the test. */
public abstract class FleetTestBase {
    private static final Duration TIMEOUT = Duration.ofSeconds(90);

    protected Fleet fleet;

    @AfterMethod(alwaysRun = true)
    public void closeFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    protected static ConditionFactory eventually(String condition) {
        return Awaitility.await(condition).atMost(TIMEOUT).pollInterval(Duration.ofMillis(100));
    }

    /**
     * Asserts that each attempt is billed once with the tokens that the engine recorded for it, that the settled tokens
     * equal the billed ones, and that no tokens of any budget are leased or held.
     */
    protected void assertBillsMatchEngineRecords() throws PlatformException {
        Map<String, Long> billed = fleet.billedTokens();
        assertThat(billed)
                .as("billed tokens equal the tokens recorded by the engines")
                .isEqualTo(fleet.engineTokens());
        assertThat(fleet.settledTokens())
                .isEqualTo(billed.values().stream().mapToLong(Long::longValue).sum());
        for (String budget : new String[] {"hospitals", "installers", "trial"}) {
            assertThat(fleet.leasedTokens(budget))
                    .as("leased tokens of " + budget)
                    .isZero();
            assertThat(fleet.rowAmount(RowKeys.held(budget)))
                    .as("held tokens of " + budget)
                    .isZero();
        }
    }
}
