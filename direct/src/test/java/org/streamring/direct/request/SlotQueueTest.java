package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.admission.FixedWindow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SlotQueueTest {
    /** Stack of a thread of a deployed entry. */
    private static final long SMALL_STACK_BYTES = 262_144;

    private EmbeddedChannel time;
    private SlotQueue queue;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        queue = new SlotQueue(time.eventLoop(), () -> 0, new FixedWindow());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        time.close();
    }

    @Test
    public void aWaitingRequestIsRetriedAfterTheRetryOfAnotherOneThrew() {
        queue.add(new WaitingRequest(true));
        advance();
        WaitingRequest next = new WaitingRequest(false);
        queue.add(next);
        advance();
        assertThat(next.retries).isPositive();
    }

    /** Guards against a recursion as deep as the number of requests that end at once, which overflows the stack. */
    @Test
    public void thousandsOfRequestsThatEndAtOnceAreAllRetriedOnASmallStack() throws Exception {
        List<EndingRequest> requests = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            EndingRequest request = new EndingRequest();
            requests.add(request);
            queue.add(request);
        }
        Thread loop = new Thread(null, queue::retryWaiting, "small-stack", SMALL_STACK_BYTES);
        loop.start();
        loop.join();
        assertThat(requests).allMatch(request -> request.retries == 1);
    }

    /** A request that ends when it is retried, and then resumes the others. */
    private final class EndingRequest implements SlotQueue.Waiting {
        private int retries;

        @Override
        public int rank() {
            return 0;
        }

        @Override
        public boolean tryPlace() {
            retries++;
            queue.remove(this);
            queue.retryWaiting();
            return true;
        }
    }

    private void advance() {
        for (int i = 0; i < 100; i++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    private static final class WaitingRequest implements SlotQueue.Waiting {
        private final boolean fails;
        private int retries;

        private WaitingRequest(boolean fails) {
            this.fails = fails;
        }

        @Override
        public int rank() {
            return 0;
        }

        @Override
        public boolean tryPlace() {
            retries++;
            if (fails) {
                throw new IllegalStateException("placement failed");
            }
            return true;
        }
    }
}
