package org.streamring.direct.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerReadinessTest {
    private static final long SLOW_START_MILLIS = 2_500;

    private long nowMillis;
    private boolean reachesOthers;
    private PeerReadiness readiness;

    @BeforeMethod
    public void setUp() {
        nowMillis = 0;
        reachesOthers = false;
        readiness = new PeerReadiness(() -> nowMillis, () -> reachesOthers);
    }

    @Test
    public void anEntryThatReachesOthersIsReadyAtOnce() {
        reachesOthers = true;
        assertThat(readiness.ready()).isTrue();
    }

    /** An entry was ready 1.5 s after it had begun to connect, before its connection to the only other one was open. */
    @Test
    public void anEntryThatStartsSlowlyWaitsForConnectionsAsLongAsOthers() {
        nowMillis = SLOW_START_MILLIS;
        readiness.connecting();
        nowMillis = SLOW_START_MILLIS + PeerReadiness.MAX_CONNECT_MILLIS;
        assertThat(readiness.ready()).isFalse();
        nowMillis++;
        assertThat(readiness.ready()).isTrue();
    }

    @Test
    public void anEntryThatCannotReadTheListOfEntriesIsReadyNonetheless() {
        nowMillis = PeerReadiness.MAX_LIST_MILLIS;
        assertThat(readiness.ready()).isFalse();
        nowMillis++;
        assertThat(readiness.ready()).isTrue();
    }

    /** An entry that served was taken out of the balancer for three seconds when it read the key late. */
    @Test
    public void anEntryThatServesWithoutTheListOfEntriesStaysReadyOnceItBeginsToConnect() {
        nowMillis = PeerReadiness.MAX_LIST_MILLIS + 1;
        readiness.connecting();
        assertThat(readiness.ready()).isTrue();
    }
}
