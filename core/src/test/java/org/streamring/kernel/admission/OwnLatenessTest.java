package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OwnLatenessTest {
    private static final long FAST_MILLIS = 3;
    private static final long SLOW_MILLIS = 180;
    private static final long TIMEOUT_MILLIS = 500;

    private OwnLateness boxDelay;

    @BeforeMethod
    public void setUp() {
        boxDelay = new OwnLateness();
    }

    @Test
    public void theBoxIsNotDelayedWithoutConnections() {
        assertThat(boxDelay.isDelayed(0)).isFalse();
    }

    @Test
    public void slowConnectionsToAllServersMeanThatTheBoxIsDelayed() {
        IntStream.range(0, 10).forEach(server -> boxDelay.recordConnectTime("i-" + server, SLOW_MILLIS, 1_000));
        assertThat(boxDelay.isDelayed(1_000)).isTrue();
    }

    /** One failure domain with a third of the servers is unreachable; connecting to the other servers is fast. */
    @Test
    public void timeoutsToAThirdOfTheServersDoNotMeanThatTheBoxIsDelayed() {
        IntStream.range(0, 12).forEach(server -> boxDelay.recordConnectTime("i-" + server, TIMEOUT_MILLIS, 1_000));
        IntStream.range(12, 38).forEach(server -> boxDelay.recordConnectTime("i-" + server, FAST_MILLIS, 1_000));
        assertThat(boxDelay.isDelayed(1_000)).isFalse();
    }

    @Test
    public void repeatedTimeoutsToTwoServersDoNotMeanThatTheBoxIsDelayed() {
        IntStream.range(0, 50).forEach(each -> boxDelay.recordConnectTime("i-1", TIMEOUT_MILLIS, 1_000 + each));
        boxDelay.recordConnectTime("i-2", TIMEOUT_MILLIS, 1_050);
        assertThat(boxDelay.isDelayed(1_050)).isFalse();
    }

    @Test
    public void fastConnectionsAfterSlowOnesEndTheDelay() {
        IntStream.range(0, 10).forEach(server -> boxDelay.recordConnectTime("i-" + server, SLOW_MILLIS, 1_000));
        IntStream.range(0, 6).forEach(server -> boxDelay.recordConnectTime("i-" + server, FAST_MILLIS, 1_100));
        assertThat(boxDelay.isDelayed(1_100)).isFalse();
    }

    @Test
    public void expiredConnectionsNoLongerCount() {
        IntStream.range(0, 10).forEach(server -> boxDelay.recordConnectTime("i-" + server, SLOW_MILLIS, 1_000));
        assertThat(boxDelay.isDelayed(1_000 + OwnLateness.WINDOW_MILLIS + 1)).isFalse();
    }

    @Test
    public void expiredConnectionsAreRemovedWhenNewOnesAreRecorded() {
        IntStream.range(0, 500)
                .forEach(server -> boxDelay.recordConnectTime("i-" + server, FAST_MILLIS, 1_000L * server));
        assertThat(boxDelay.recordedServers()).isEqualTo(1);
    }
}
