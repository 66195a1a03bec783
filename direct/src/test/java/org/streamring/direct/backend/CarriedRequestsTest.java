package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class CarriedRequestsTest {
    private final CarriedRequests carried = new CarriedRequests();

    @Test
    public void aRequestIsNotAdmittedAgainHoweverManyOthersCameInBetween() {
        carried.add("first");
        int others = 0;
        while (!carried.isFull()) {
            assertThat(carried.admits("first")).isFalse();
            assertThat(carried.admits("other " + others)).isTrue();
            carried.add("other " + others);
            others++;
        }
        assertThat(others).isBetween(100, 1_000);
        assertThat(carried.last()).isEqualTo("other " + (others - 1));
    }
}
