package org.streamring.net.process;

import java.util.concurrent.CountDownLatch;

/** Waits for the operating system to ask the process to stop, and lets it stop in order. */
public final class StopSignal {
    private final CountDownLatch asked = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Starts to listen for the request. */
    public StopSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "stop-signal"));
    }

    private void shutDown() {
        asked.countDown();
        awaitUninterruptibly(stopped);
    }

    /** Waits until the process is asked to stop. */
    public void await() {
        awaitUninterruptibly(asked);
    }

    /** Says that the process has stopped what it did. */
    public void stopped() {
        stopped.countDown();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
