package org.streamring.direct.metrics;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.admission.EventLoopDelay;

/** Measures the delay of timers on the event loop and logs when the loop falls behind. Confined to the event loop. */
public final class EventLoopDelayMonitor {
    private static final long INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final LinkBacklogMonitor linkBacklogMonitor;
    private final EventLoopDelay delayDetector = new EventLoopDelay();

    /**
     * Creates a monitor of an event loop.
     *
     * @param linkBacklogMonitor monitor of the link, run by the same timer
     */
    public EventLoopDelayMonitor(
            EventLoop loop,
            LongSupplier clock,
            LinkBacklogMonitor linkBacklogMonitor,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loop = loop;
        this.clock = clock;
        this.linkBacklogMonitor = linkBacklogMonitor;
        this.metrics = metrics;
        this.log = log;
    }

    /** Schedules the next measurement. */
    public void start() {
        long due = clock.getAsLong() + INTERVAL_MILLIS;
        loop.schedule(() -> timerRan(due), INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void timerRan(long due) {
        long now = clock.getAsLong();
        long delay = Math.max(0, now - due);
        metrics.loopDelay(delay);
        delayDetector.recordDelay(delay, now).ifPresent(this::log);
        linkBacklogMonitor.check();
        start();
    }

    private void log(EventLoopDelay.Change change) {
        log.line(
                change.late() ? "loop_late" : "loop_in_time",
                "delay_ms",
                change.delayMillis(),
                "longest_ms",
                change.longestMillis(),
                "late_for_ms",
                change.lateForMillis());
    }
}
