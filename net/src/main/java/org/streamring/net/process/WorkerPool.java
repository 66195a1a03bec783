package org.streamring.net.process;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A fixed number of worker threads before a bounded queue. */
public final class WorkerPool implements Executor {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkerPool.class);

    private final ThreadPoolExecutor executor;

    /**
     * Starts the pool.
     *
     * @param name name of the threads
     * @param threads number of threads
     * @param queue tasks that may wait
     */
    public WorkerPool(String name, int threads, int queue) {
        AtomicInteger counter = new AtomicInteger();
        executor =
                new ThreadPoolExecutor(threads, threads, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(queue), task -> {
                    Thread thread = new Thread(task, name + "-" + counter.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Runs a task; throws {@link RejectedExecutionException} if too many wait. */
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

    /** Tasks that wait. */
    public int queued() {
        return executor.getQueue().size();
    }

    /** Ends the threads; waiting tasks are dropped. */
    public void close() {
        executor.shutdownNow();
    }
}
