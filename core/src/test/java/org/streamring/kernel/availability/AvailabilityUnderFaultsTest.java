package org.streamring.kernel.availability;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class AvailabilityUnderFaultsTest {
    private static final int DAYS = 60;

    @Test
    public void nothingIsSentInARestOrAfterTheDrainTimeAndEveryProcessIsUsed() {
        int turnedAway = 0;
        int served = 0;
        int refused = 0;
        for (int seed = 0; seed < DAYS; seed++) {
            NoticeFleet day = new NoticeFleet(seed);
            day.play();
            assertThat(day.sentInRest()).as("sent in a rest, seed %d", seed).isZero();
            assertThat(day.sentWhileLeaving())
                    .as("sent to one that leaves, seed %d", seed)
                    .isZero();
            assertThat(day.sentAfterDrain())
                    .as("sent after the drain time, seed %d", seed)
                    .isZero();
            assertThat(day.idleLives()).as("processes unused, seed %d", seed).isZero();
            turnedAway += day.turnedAway();
            served += day.served();
            refused += day.refused();
        }
        System.out.printf("served %d, refused %d, turned away %d%n", served, refused, turnedAway);
        assertThat(turnedAway).as("replicas turned requests away").isPositive();
    }
}
