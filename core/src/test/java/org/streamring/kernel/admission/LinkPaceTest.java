package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.streamring.kernel.admission.LinkPace.Traffic;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LinkPaceTest {
    /** Leaves 900 bytes per millisecond for requests. */
    private static final long BYTES_PER_SECOND = 1_000_000;

    private static final long LONG_REQUEST_BYTES = 90_000;

    private LinkPace pace;

    @BeforeMethod
    public void setUp() {
        pace = new LinkPace(() -> OptionalLong.of(BYTES_PER_SECOND));
    }

    @Test
    public void writtenBytesWaitForBytesWrittenEarlier() {
        pace.written(Traffic.REQUESTS, LONG_REQUEST_BYTES, 1_000);
        pace.written(Traffic.REQUESTS, LONG_REQUEST_BYTES, 1_050);
        assertThat(pace.queuedMillis(1_050)).isEqualTo(150);
        assertThat(pace.queuedMillis(1_200)).isZero();
    }

    @Test
    public void requestsAreDelayedUntilTheQueueIsShort() {
        for (int i = 0; i < 4; i++) {
            assertThat(pace.closedMillis(LONG_REQUEST_BYTES, 0)).isEqualTo(i < 3 ? 0 : 50);
            pace.written(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        }
        assertThat(pace.closedMillis(LONG_REQUEST_BYTES, 149)).isPositive();
        assertThat(pace.closedMillis(LONG_REQUEST_BYTES, 150)).isZero();
    }

    @Test
    public void aRequestOfOnePacketIsNeverDelayed() {
        pace.written(Traffic.REQUESTS, 100 * LONG_REQUEST_BYTES, 0);
        assertThat(pace.closedMillis(LinkPace.PACKET_BYTES, 0)).isZero();
    }

    @Test
    public void bytesThatWereNotWrittenDoNotCount() {
        pace.written(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        pace.written(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        pace.notWritten(Traffic.REQUESTS, LONG_REQUEST_BYTES);
        assertThat(pace.queuedMillis(0)).isEqualTo(100);
        assertThat(pace.bytes(Traffic.REQUESTS)).isEqualTo(LONG_REQUEST_BYTES);
    }

    @Test
    public void requestsAreNotDelayedIfTheLinkRateIsUnknown() {
        LinkPace linkOfUnknownRate = new LinkPace(OptionalLong::empty);
        linkOfUnknownRate.written(Traffic.REQUESTS, 100 * LONG_REQUEST_BYTES, 0);
        assertThat(linkOfUnknownRate.closedMillis(LONG_REQUEST_BYTES, 0)).isZero();
    }
}
