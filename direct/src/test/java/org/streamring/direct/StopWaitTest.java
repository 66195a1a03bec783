package org.streamring.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StopWaitTest {
    private static final long STEP_MILLIS = 1_000;

    private AtomicLong nowMillis;
    private CompletableFuture<Void> stopped;

    @BeforeMethod
    public void setUp() {
        nowMillis = new AtomicLong();
        stopped = new CompletableFuture<>();
    }

    /** A process exited at the grace period that it had at SIGTERM, although the stop went on until the longer one. */
    @Test
    public void aGracePeriodThatIsLengthenedDuringTheStopIsWaitedFor() throws Exception {
        AtomicLong graceMillis = new AtomicLong(2 * STEP_MILLIS);
        StopWait wait = new StopWait(() -> advance(graceMillis), () -> Duration.ofMillis(graceMillis.get()));
        wait.await(stopped);
        assertThat(stopped).isDone();
    }

    @Test
    public void aLoopThatIsLateEndsTheStopItself() throws Exception {
        StopWait wait = new StopWait(this::passTheGracePeriod, () -> Duration.ofMillis(2 * STEP_MILLIS));
        wait.await(stopped);
        assertThat(stopped).isDone();
    }

    @Test
    public void aLoopThatNeverEndsTheStopDoesNotKeepTheProcess() {
        StopWait wait = new StopWait(() -> nowMillis.addAndGet(STEP_MILLIS), () -> Duration.ofMillis(STEP_MILLIS));
        assertThatThrownBy(() -> wait.await(stopped)).isInstanceOf(TimeoutException.class);
    }

    /** Returns times of which the last one lies half a step behind the grace period; the stop ends after it. */
    private long passTheGracePeriod() {
        long now = nowMillis.getAndAdd(2 * STEP_MILLIS + STEP_MILLIS / 2);
        if (now > 0) {
            stopped.complete(null);
        }
        return now;
    }

    /** Advances the clock by a step; lengthens the grace period at the second one and ends the stop at the sixth. */
    private long advance(AtomicLong graceMillis) {
        long now = nowMillis.addAndGet(STEP_MILLIS);
        if (now == 2 * STEP_MILLIS) {
            graceMillis.set(8 * STEP_MILLIS);
        }
        if (now == 6 * STEP_MILLIS) {
            stopped.complete(null);
        }
        return now;
    }
}
