package org.streamring.entry;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.table.PlatformException;

/** Runs a task that accesses the platform periodically on its own thread, with jittered pauses. */
final class PeriodicTask {
    private static final Logger LOGGER = LoggerFactory.getLogger(PeriodicTask.class);
    private static final double JITTER = 0.2;

    private final String name;
    private final Duration interval;
    private final Task task;
    private final Thread thread;
    private boolean failing;

    /** Task that is run periodically. */
    @FunctionalInterface
    interface Task {
        /** Runs the task once. */
        void run() throws PlatformException;
    }

    PeriodicTask(String name, Duration interval, Task task) {
        this.name = name;
        this.interval = interval;
        this.task = task;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    PeriodicTask start() {
        thread.start();
        return this;
    }

    private void run() {
        try {
            while (true) {
                runOnce();
                double factor = 1 + JITTER * (ThreadLocalRandom.current().nextDouble() - 0.5);
                Thread.sleep((long) (interval.toMillis() * factor));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runOnce() {
        try {
            task.run();
            if (failing) {
                LOGGER.info("task_recovered name={}", name);
            }
            failing = false;
        } catch (PlatformException e) {
            if (!failing) {
                LOGGER.warn(
                        "task_failing name={} step={} peer={} problem={}", name, e.step(), e.peer(), e.getMessage());
            }
            failing = true;
        } catch (RuntimeException e) {
            LOGGER.error("task_failed name={}", name, e);
        }
    }

    void close() {
        thread.interrupt();
    }
}
