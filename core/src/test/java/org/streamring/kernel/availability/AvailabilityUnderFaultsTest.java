package org.streamring.kernel.availability;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Runs simulated fleets in which replicas back off, shut down and restart at random. */
public class AvailabilityUnderFaultsTest {
    private static final int RUNS = 60;

    @Test
    public void noRequestIsSentDuringABackOffOrAfterTheDrainTimeAndEveryProcessIsUsed() {
        int rejected = 0;
        int served = 0;
        int refused = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            AvailabilitySimulation simulation = new AvailabilitySimulation(seed);
            simulation.run();
            assertThat(simulation.sentDuringBackOff())
                    .as("sent during a back-off, seed %d", seed)
                    .isZero();
            assertThat(simulation.sentDuringShutdown())
                    .as("sent to a server that is shutting down, seed %d", seed)
                    .isZero();
            assertThat(simulation.sentAfterDrain())
                    .as("sent after the drain time, seed %d", seed)
                    .isZero();
            assertThat(simulation.unusedProcesses())
                    .as("processes unused, seed %d", seed)
                    .isZero();
            rejected += simulation.rejected();
            served += simulation.served();
            refused += simulation.refused();
        }
        System.out.printf("served %d, refused %d, rejected by replicas %d%n", served, refused, rejected);
        assertThat(rejected).as("requests rejected by replicas").isPositive();
    }
}
