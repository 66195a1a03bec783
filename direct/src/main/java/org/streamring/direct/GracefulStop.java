package org.streamring.direct;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.caller.CallerServer;
import org.streamring.direct.ledger.TokenAllocator;
import org.streamring.direct.log.DecisionLog;
import org.streamring.model.route.Route;

/** Lets the running requests finish within the grace period when the entry stops. Confined to the event loop. */
final class GracefulStop {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** Longest wait, within the margin, for the store to take back the leases and for callers to read last answers. */
    private static final long MAX_EXIT_WAIT_MILLIS = 400;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final StopSchedule schedule;
    private final DecisionLog log;
    private boolean stopping;
    private boolean rejectingAll;
    private long startedMillis;

    /**
     * Creates the stop of an entry that runs.
     *
     * @param gracePeriod returns the time after which the process is killed
     */
    GracefulStop(EventLoop loop, LongSupplier clock, Supplier<Duration> gracePeriod, DecisionLog log) {
        this.loop = loop;
        this.clock = clock;
        this.schedule = new StopSchedule(gracePeriod);
        this.log = log;
    }

    boolean stopping() {
        return stopping;
    }

    /** Returns the time since the stop began; -1 if it has not begun. */
    long elapsedMillis() {
        return stopping ? clock.getAsLong() - startedMillis : -1;
    }

    /** Returns whether a new request is accepted. A stopping entry rejects requests that could not finish in time. */
    boolean accepts(Route route) {
        return !stopping || (!rejectingAll && schedule.leavesTimeFor(route.stream(), elapsedMillis()));
    }

    /**
     * Starts the stop.
     *
     * @param runningStreams returns the number of streams in progress
     * @return future that completes when the process may exit
     */
    CompletableFuture<Void> start(CallerServer callers, IntSupplier runningStreams, TokenAllocator tokens) {
        stopping = true;
        startedMillis = clock.getAsLong();
        log.line("stopping", "requests", callers.connectionsWithRequest());
        callers.closeConnectionsWithoutRequest();
        loop.schedule(tokens::release, StopSchedule.BALANCER_DETECTION_TIME.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        waitForRequests(callers, runningStreams, tokens, stopped);
        return stopped;
    }

    private void waitForRequests(
            CallerServer callers, IntSupplier runningStreams, TokenAllocator tokens, CompletableFuture<Void> stopped) {
        long elapsed = elapsedMillis();
        rejectingAll |= runningStreams.getAsInt() == 0 && elapsed >= StopSchedule.BALANCER_DETECTION_TIME.toMillis();
        boolean allFinished = rejectingAll && callers.connectionsWithRequest() == 0;
        if (!allFinished && elapsed < schedule.millisForRequests()) {
            loop.schedule(
                    () -> waitForRequests(callers, runningStreams, tokens, stopped),
                    CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        rejectingAll = true;
        callers.answerUnfinishedRequests();
        callers.refuseArrivingRequests();
        log.line("stopped", "requests", callers.connectionsWithRequest(), "ms", elapsed);
        tokens.close().whenComplete((done, failure) -> exitAfterLastAnswers(callers, stopped));
        loop.schedule(() -> exit(callers, stopped), MAX_EXIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The exit resets the connections of callers that are still sending, which may lose the last answer. */
    private void exitAfterLastAnswers(CallerServer callers, CompletableFuture<Void> stopped) {
        if (callers.endingConnections() == 0) {
            exit(callers, stopped);
        } else if (!stopped.isDone()) {
            loop.schedule(() -> exitAfterLastAnswers(callers, stopped), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void exit(CallerServer callers, CompletableFuture<Void> stopped) {
        if (!stopped.isDone()) {
            callers.reportAtExit();
            stopped.complete(null);
        }
    }
}
