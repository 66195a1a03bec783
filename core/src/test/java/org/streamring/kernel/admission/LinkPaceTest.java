package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.streamring.kernel.admission.LinkPace.Traffic;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LinkPaceTest {
    /** 900 bytes a millisecond for requests. */
    private static final long RATE = 1_000_000;

    private static final long LONG_REQUEST = 90_000;

    private LinkPace pace;

    @BeforeMethod
    public void setUp() {
        pace = new LinkPace(() -> OptionalLong.of(RATE));
    }

    @Test
    public void whatIsWrittenWaitsForWhatWasWrittenBefore() {
        pace.written(Traffic.REQUESTS, LONG_REQUEST, 1_000);
        pace.written(Traffic.REQUESTS, LONG_REQUEST, 1_050);
        assertThat(pace.queuedMillis(1_050)).isEqualTo(150);
        assertThat(pace.queuedMillis(1_200)).isZero();
    }

    @Test
    public void requestsAreHeldBackUntilTheQueueIsShort() {
        for (int i = 0; i < 4; i++) {
            assertThat(pace.closedMillis(LONG_REQUEST, 0)).isEqualTo(i < 3 ? 0 : 50);
            pace.written(Traffic.REQUESTS, LONG_REQUEST, 0);
        }
        assertThat(pace.closedMillis(LONG_REQUEST, 149)).isPositive();
        assertThat(pace.closedMillis(LONG_REQUEST, 150)).isZero();
    }

    @Test
    public void aRequestOfOnePacketIsNeverHeldBack() {
        pace.written(Traffic.REQUESTS, 100 * LONG_REQUEST, 0);
        assertThat(pace.closedMillis(LinkPace.SMALL_BYTES, 0)).isZero();
    }

    @Test
    public void whatWasNotWrittenAfterAllDoesNotCount() {
        pace.written(Traffic.REQUESTS, LONG_REQUEST, 0);
        pace.written(Traffic.REQUESTS, LONG_REQUEST, 0);
        pace.notWritten(Traffic.REQUESTS, LONG_REQUEST);
        assertThat(pace.queuedMillis(0)).isEqualTo(100);
        assertThat(pace.bytes(Traffic.REQUESTS)).isEqualTo(LONG_REQUEST);
    }

    @Test
    public void nothingIsHeldBackOnALinkOfUnknownRate() {
        LinkPace unknown = new LinkPace(OptionalLong::empty);
        unknown.written(Traffic.REQUESTS, 100 * LONG_REQUEST, 0);
        assertThat(unknown.closedMillis(LONG_REQUEST, 0)).isZero();
    }
}
