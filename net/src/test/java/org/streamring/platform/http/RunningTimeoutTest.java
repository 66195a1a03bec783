package org.streamring.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunningTimeoutTest {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final long PAUSE_MILLIS = 700;

    private long nanoTime;

    @BeforeMethod
    public void setUp() {
        nanoTime = 0;
    }

    @Test
    public void anAnswerThatArrivedDuringAPauseIsReturned() throws Exception {
        assertThat(await(new Result(20L, PAUSE_MILLIS).readAfterWaits(2))).isEqualTo("answer");
    }

    @Test
    public void anAnswerThatArrivedDuringAPauseAtTheEndOfTheTimeoutIsReturned() throws Exception {
        assertThat(await(new Result(50L, 50L, 50L, 50L, 50L, 50L, 50L, 50L, 50L, PAUSE_MILLIS).readAfterWaits(10)))
                .isEqualTo("answer");
    }

    @Test
    public void anAnswerThatIsReadWithinTheTimeoutAfterAPauseIsReturned() throws Exception {
        assertThat(await(new Result(PAUSE_MILLIS).readAfterWaits(8))).isEqualTo("answer");
    }

    @Test
    public void withoutAnAnswerTheWaitEndsAfterTheTimeout() {
        assertThatThrownBy(() -> await(new Result())).isInstanceOf(TimeoutException.class);
        assertThat(elapsed()).isEqualTo(TIMEOUT);
    }

    @Test
    public void withoutAnAnswerTheWaitEndsAlthoughEveryStepIsLate() {
        assertThatThrownBy(() -> await(new Result(200L, 200L, 200L, 200L, 200L, 200L, 200L, 200L)))
                .isInstanceOf(TimeoutException.class);
        assertThat(elapsed()).isLessThanOrEqualTo(TIMEOUT.multipliedBy(3));
    }

    private String await(Result result) throws Exception {
        return new RunningTimeout(TIMEOUT, () -> nanoTime).await(result);
    }

    private Duration elapsed() {
        return Duration.ofNanos(nanoTime);
    }

    /** Result on which each wait takes the given time, or as long as asked for once these are used up. */
    private final class Result extends CompletableFuture<String> {
        private final Queue<Long> waitMillis;
        private int waitsUntilRead = Integer.MAX_VALUE;

        private Result(Long... waitMillis) {
            this.waitMillis = new ArrayDeque<>(List.of(waitMillis));
        }

        private Result readAfterWaits(int waits) {
            waitsUntilRead = waits;
            return this;
        }

        @Override
        public String get(long timeout, TimeUnit unit) throws TimeoutException {
            if (waitsUntilRead-- == 0) {
                return "answer";
            }
            Long millis = waitMillis.poll();
            nanoTime += millis == null ? unit.toNanos(timeout) : TimeUnit.MILLISECONDS.toNanos(millis);
            throw new TimeoutException();
        }
    }
}
