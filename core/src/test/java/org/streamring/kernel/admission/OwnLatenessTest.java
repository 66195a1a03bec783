package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OwnLatenessTest {
    private static final long SOON = 3;
    private static final long SLOW = 180;
    private static final long TIMED_OUT = 500;

    private OwnLateness own;

    @BeforeMethod
    public void setUp() {
        own = new OwnLateness();
    }

    @Test
    public void nothingIsLateBeforeAnythingWasConnected() {
        assertThat(own.late(0)).isFalse();
    }

    @Test
    public void connectionsThatTakeLongToAllServersAreThisBoxesFault() {
        IntStream.range(0, 10).forEach(server -> own.connecting("i-" + server, SLOW, 1_000));
        assertThat(own.late(1_000)).isTrue();
    }

    /** A failure domain of a third of the servers is dark; the others are reached as ever. */
    @Test
    public void connectionsThatTimeOutToAThirdOfTheServersAreTheirFault() {
        IntStream.range(0, 12).forEach(server -> own.connecting("i-" + server, TIMED_OUT, 1_000));
        IntStream.range(12, 38).forEach(server -> own.connecting("i-" + server, SOON, 1_000));
        assertThat(own.late(1_000)).isFalse();
    }

    @Test
    public void oneSlowServerSaysNothingHoweverOftenItIsTried() {
        IntStream.range(0, 50).forEach(each -> own.connecting("i-1", TIMED_OUT, 1_000 + each));
        own.connecting("i-2", TIMED_OUT, 1_050);
        assertThat(own.late(1_050)).isFalse();
    }

    @Test
    public void aLinkThatHasDrainedIsNotLateAnyMore() {
        IntStream.range(0, 10).forEach(server -> own.connecting("i-" + server, SLOW, 1_000));
        IntStream.range(0, 6).forEach(server -> own.connecting("i-" + server, SOON, 1_100));
        assertThat(own.late(1_100)).isFalse();
    }

    @Test
    public void whatWasSeenIsForgottenSoThatRequestsAreTakenAgain() {
        IntStream.range(0, 10).forEach(server -> own.connecting("i-" + server, SLOW, 1_000));
        assertThat(own.late(1_000 + OwnLateness.WINDOW_MILLIS + 1)).isFalse();
    }

    @Test
    public void serversThatAreGoneAreForgottenAlsoWhereNobodyAsks() {
        IntStream.range(0, 500).forEach(server -> own.connecting("i-" + server, SOON, 1_000L * server));
        assertThat(own.remembered()).isEqualTo(1);
    }
}
