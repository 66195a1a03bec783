package org.streamring.kernel.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.stream.StreamResumptionSimulation.Tally;
import org.streamring.kernel.stream.StreamResumptionSimulation.Way;
import org.testng.annotations.Test;

/** Runs simulated fleets whose service is upgraded while entries fail. */
public class StreamsUnderFaultsTest {
    private static final int SEEDS = 200;
    /** Fewest resumed streams of which a share says anything. */
    private static final int MIN_RESUMED = 12;

    @Test
    public void noStreamIsContinuedAtAnotherVersion() {
        for (Way way : Way.values()) {
            for (long seed = 0; seed < SEEDS; seed++) {
                assertThat(new StreamResumptionSimulation(seed, way).run().continuedAtOtherVersion)
                        .as("%s, seed %d", way, seed)
                        .isZero();
            }
        }
    }

    @Test
    public void atLeastHalfOfTheStreamsWhoseVersionServesAreContinued() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Tally tally = new StreamResumptionSimulation(seed, Way.THREE_WITNESSES).run();
            assertThat(tally.resumedInTouch).as("seed %d", seed).isGreaterThanOrEqualTo(MIN_RESUMED);
            assertThat(2 * tally.refusedInTouch).as("seed %d", seed).isLessThanOrEqualTo(tally.resumedInTouch);
        }
    }
}
