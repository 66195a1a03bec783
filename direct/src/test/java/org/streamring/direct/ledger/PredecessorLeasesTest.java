package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.Holding;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.PrepaidSettings;
import org.streamring.kernel.store.StorePosition;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PredecessorLeasesTest {
    private static final String ACCOUNT = "hotel";
    private static final String DEAD = "entry.dead";
    private static final long LIMIT = 1_000_000;
    private static final long LEASE = 400_000;
    private static final long CONFIRMED = 10_000;
    /** No token is used at the start; half of the lease may be used by the end of the silence timeout of 3.2 s. */
    private static final Mark USAGE_CAP = new Mark(0, 0, LEASE / 2);

    private DecisionLog log;
    private long nowMillis;

    @BeforeMethod
    public void setUp() {
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        nowMillis = 500;
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        log.close();
    }

    @Test
    public void usageCapsRiseUntilTheClockStartsWithoutAJvmStartTime() {
        assertThat(usedAfterSettling(CONFIRMED + 2_000, 0)).isEqualTo(LEASE / 2 * 2_200 / 3_200);
    }

    /** On a box with a quarter of a core, the JVM takes 1.5 s to start before the clock of the process starts. */
    @Test
    public void usageCapsRiseOnlyUntilTheJvmBeginsToStart() {
        assertThat(usedAfterSettling(CONFIRMED + 2_000, 1_500)).isEqualTo(LEASE / 2 * 700 / 3_200);
    }

    @Test
    public void reclaimsWithoutWitnessesIfThePredecessorEndedBeforeItsSilenceTimeout() {
        assertThat(usedAfterSettling(CONFIRMED + 4_000, 0))
                .as("silence timeout has passed, and the witness has not reported")
                .isEqualTo(LEASE);
        assertThat(usedAfterSettling(CONFIRMED + 4_000, 1_500)).isLessThan(LEASE / 2);
    }

    private long usedAfterSettling(long clockStartMillis, long bootMillis) {
        PredecessorLeases predecessor = new PredecessorLeases(
                new PrepaidLedger("entry.new", PrepaidSettings.DEFAULT),
                new SilentWitnesses(),
                () -> nowMillis,
                () -> nowMillis + bootMillis,
                log);
        predecessor.startedBefore(clockStartMillis);
        predecessor.usageCapsRead(
                Optional.of(new MarkRow(DEAD, CONFIRMED, Map.of(ACCOUNT, USAGE_CAP), Set.of("entry-2.a"), 20_000)),
                StorePosition.NO_ERA);
        PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1).withHolding(DEAD, new Holding(LEASE, 0));
        return predecessor.removeFrom(ACCOUNT, row).used();
    }

    /** Live witnesses that have not answered yet. */
    private static final class SilentWitnesses implements Witnesses {
        @Override
        public Set<String> choose(Set<String> named) {
            return named;
        }

        @Override
        public boolean gone(String witness) {
            return false;
        }

        @Override
        public void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged) {
            // no usage record arrives
        }

        @Override
        public void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered) {
            // no answer arrives
        }
    }
}
