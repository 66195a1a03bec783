package org.streamring.net.process;

import java.util.concurrent.CountDownLatch;

/** Waits for the shutdown of the JVM and delays it until the process has stopped gracefully. */
public final class StopSignal {
    private final CountDownLatch shutdownRequested = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Registers a JVM shutdown hook. */
    public StopSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::onShutdown, "stop-signal"));
    }

    private void onShutdown() {
        shutdownRequested.countDown();
        awaitUninterruptibly(stopped);
    }

    /** Blocks until the shutdown of the JVM begins. */
    public void await() {
        awaitUninterruptibly(shutdownRequested);
    }

    /** Lets the JVM exit; called once the process has stopped gracefully. */
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
