package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.admission.FixedWindow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlaceQueueTest {
    private EmbeddedChannel time;
    private PlaceQueue queue;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        queue = new PlaceQueue(time.eventLoop(), () -> 0, new FixedWindow());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        time.close();
    }

    @Test
    public void aRequestThatWaitsIsLookedAtAgainAfterAnotherOneHasFailed() {
        queue.add(new Waiting(true));
        advance();
        Waiting later = new Waiting(false);
        queue.add(later);
        advance();
        assertThat(later.looks).isPositive();
    }

    private void advance() {
        for (int i = 0; i < 100; i++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    private static final class Waiting implements PlaceQueue.Waiting {
        private final boolean fails;
        private int looks;

        private Waiting(boolean fails) {
            this.fails = fails;
        }

        @Override
        public int rank() {
            return 0;
        }

        @Override
        public boolean tryPlace() {
            looks++;
            if (fails) {
                throw new IllegalStateException("it can't be placed");
            }
            return true;
        }
    }
}
