package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.streamring.kernel.admission.LinkBacklog.Traffic;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LinkPaceTest {
    /** Leaves 900 bytes per millisecond for requests. */
    private static final long BYTES_PER_SECOND = 1_000_000;

    private static final long LONG_REQUEST_BYTES = 90_000;

    private LinkBacklog backlog;

    @BeforeMethod
    public void setUp() {
        backlog = new LinkBacklog(() -> OptionalLong.of(BYTES_PER_SECOND));
    }

    @Test
    public void writtenBytesWaitForBytesWrittenEarlier() {
        backlog.addBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES, 1_000);
        backlog.addBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES, 1_050);
        assertThat(backlog.queuedMillis(1_050)).isEqualTo(150);
        assertThat(backlog.queuedMillis(1_200)).isZero();
    }

    @Test
    public void requestsAreDelayedUntilTheQueueIsShort() {
        for (int i = 0; i < 4; i++) {
            assertThat(backlog.delayMillis(LONG_REQUEST_BYTES, 0)).isEqualTo(i < 3 ? 0 : 50);
            backlog.addBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        }
        assertThat(backlog.delayMillis(LONG_REQUEST_BYTES, 149)).isPositive();
        assertThat(backlog.delayMillis(LONG_REQUEST_BYTES, 150)).isZero();
    }

    @Test
    public void aRequestOfOnePacketIsNeverDelayed() {
        backlog.addBytes(Traffic.REQUESTS, 100 * LONG_REQUEST_BYTES, 0);
        assertThat(backlog.delayMillis(LinkBacklog.PACKET_BYTES, 0)).isZero();
    }

    @Test
    public void bytesThatWereNotWrittenDoNotCount() {
        backlog.addBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        backlog.addBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES, 0);
        backlog.subtractBytes(Traffic.REQUESTS, LONG_REQUEST_BYTES);
        assertThat(backlog.queuedMillis(0)).isEqualTo(100);
        assertThat(backlog.bytes(Traffic.REQUESTS)).isEqualTo(LONG_REQUEST_BYTES);
    }

    @Test
    public void requestsAreNotDelayedIfTheLinkRateIsUnknown() {
        LinkBacklog linkOfUnknownRate = new LinkBacklog(OptionalLong::empty);
        linkOfUnknownRate.addBytes(Traffic.REQUESTS, 100 * LONG_REQUEST_BYTES, 0);
        assertThat(linkOfUnknownRate.delayMillis(LONG_REQUEST_BYTES, 0)).isZero();
    }
}
