package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Counts the events that arrive after an attempt was cancelled, until its replica closes the connection or a short time
 * is over. Confined to the event loop.
 */
final class AttemptDrain {
    /** Shorter than the half second after which a replica should no longer work for a caller that left. */
    private static final long MAX_MILLIS = 250;

    private final EventLoop loop;
    private @Nullable Future<?> timer;
    private int events;

    AttemptDrain(EventLoop loop) {
        this.loop = loop;
    }

    /** Begins to count; the task is run when the time is over before {@link #stop}. */
    void begin(Runnable onTimeout) {
        timer = loop.schedule(onTimeout, MAX_MILLIS, TimeUnit.MILLISECONDS);
    }

    boolean isRunning() {
        return timer != null;
    }

    void add(int arrived) {
        events += arrived;
    }

    /** Returns the number of events that arrived meanwhile. */
    int events() {
        return events;
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
