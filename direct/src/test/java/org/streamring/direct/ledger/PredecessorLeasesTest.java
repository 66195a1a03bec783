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
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.PrepaidSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PredecessorLeasesTest {
    private static final String ACCOUNT = "hotel";
    private static final String DEAD = "entry.dead";
    private static final long LIMIT = 1_000_000;
    private static final long LEASE = 400_000;
    private static final long CONFIRMED = 10_000;
    /** Nothing used yet; half of the lease may be by the end of the patience of 3.2 s. */
    private static final Mark MARK = new Mark(0, 0, LEASE / 2);

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
    public void withoutABootMarksCountUntilTheClockBegan() {
        assertThat(usedAfterSettling(CONFIRMED + 2_000, 0)).isEqualTo(LEASE / 2 * 2_200 / 3_200);
    }

    /** A box of a quarter of a core starts the runtime for 1.5 s before the process's clock begins. */
    @Test
    public void marksCountUntilTheRuntimeBeganToStart() {
        assertThat(usedAfterSettling(CONFIRMED + 2_000, 1_500)).isEqualTo(LEASE / 2 * 700 / 3_200);
    }

    @Test
    public void aPredecessorThatHeldItsMarksIsToldByTheTimeOfItsEnd() {
        assertThat(usedAfterSettling(CONFIRMED + 4_000, 0))
                .as("out of patience, and its witness has not told")
                .isEqualTo(LEASE);
        assertThat(usedAfterSettling(CONFIRMED + 4_000, 1_500)).isLessThan(LEASE / 2);
    }

    private long usedAfterSettling(long clockBeganMillis, long bootMillis) {
        PredecessorLeases predecessor = new PredecessorLeases(
                new PrepaidBook("entry.new", PrepaidSettings.DEFAULT),
                new SilentWitnesses(),
                () -> nowMillis,
                () -> nowMillis + bootMillis,
                log);
        predecessor.startedBefore(clockBeganMillis);
        predecessor.marksRead(
                Optional.of(new MarkRow(DEAD, CONFIRMED, Map.of(ACCOUNT, MARK), Set.of("entry-2.a"), 20_000)));
        PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1).withHolding(DEAD, new Holding(LEASE, 0));
        return predecessor.without(ACCOUNT, row).used();
    }

    /** They live, but have not answered yet. */
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
            // no note gets through
        }

        @Override
        public void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered) {
            // no answer comes
        }
    }
}
