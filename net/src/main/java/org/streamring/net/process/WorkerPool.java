package org.streamring.net.process;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fixed-size pool of daemon threads with a bounded queueCapacity. */
public final class WorkerPool implements Executor {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkerPool.class);

    private final ThreadPoolExecutor executor;

    /**
     * Starts the pool.
     *
     * @param name prefix of the thread names
     * @param threads number of threads
     * @param queueCapacity capacity of the task queueCapacity
     */
    public WorkerPool(String name, int threads, int queueCapacity) {
        AtomicInteger counter = new AtomicInteger();
        executor = new ThreadPoolExecutor(
                threads, threads, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(queueCapacity), task -> {
                    Thread thread = new Thread(task, name + "-" + counter.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Runs a task on a worker thread. Exceptions of the task are logged.
     *
     * @throws RejectedExecutionException if the queueCapacity is full
     */
    @Override
    public void execute(Runnable task) {
        executor.execute(() -> runLogged(task));
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("worker_task_failed", e);
        }
    }

    /** Returns the number of queued tasks. */
    public int queued() {
        return executor.getQueue().size();
    }

    /** Interrupts the threads and discards queued tasks. */
    public void close() {
        executor.shutdownNow();
    }
}
