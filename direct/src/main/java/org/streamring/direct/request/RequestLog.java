package org.streamring.direct.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.placement.PlacementForecast;

/** Logs what became of one request. Confined to the event loop. */
final class RequestLog {
    private final DecisionLog log;
    private final RequestPlan plan;

    /**
     * What a request used until its final answer.
     *
     * @param attempts attempts that may have reached a replica
     * @param unsent attempts of which no byte was sent
     * @param tokens prepaid tokens used
     * @param replica the last one tried; empty if none was
     * @param forecast what was expected of the last attempt
     * @param timing when its events came
     * @param sinceSentMillis time since the attempt in progress was written; empty if none is, or it is not written
     * @param millis time since its arrival
     */
    record Course(
            int attempts,
            int unsent,
            long tokens,
            String replica,
            Optional<PlacementForecast> forecast,
            StreamTiming timing,
            OptionalLong sinceSentMillis,
            long millis) {}

    RequestLog(DecisionLog log, RequestPlan plan) {
        this.log = log;
        this.plan = plan;
    }

    /**
     * Logs an attempt without a success.
     *
     * @param replica where it was tried
     * @param digest what the request is known by when it comes again; empty if it can't be computed yet
     */
    void attemptFailed(AttemptEnd end, String replica, String digest, long millis) {
        log.line(
                "attempt_failed",
                "request",
                plan.id(),
                "service",
                plan.service().name(),
                "kind",
                end.kind(),
                "reason",
                end.reason(),
                "replica",
                replica,
                "digest",
                digest,
                "ms",
                millis);
    }

    void ended(String outcome, int status, Course course) {
        Optional<PlacementForecast> forecast = course.forecast();
        log.line(
                "request_ended",
                "request",
                plan.id(),
                "route",
                plan.route().name(),
                "account",
                plan.prepaidAccount().orElse(""),
                "rank",
                plan.rank(),
                "outcome",
                outcome,
                "status",
                status,
                "attempts",
                course.attempts(),
                "unsent",
                course.unsent(),
                "tokens_used",
                course.tokens(),
                "tokens_at_most",
                plan.tokens().map(TokenUse::most).orElse(0L),
                "replica",
                course.replica(),
                "tokens_to_read",
                forecast.map(PlacementForecast::tokensToRead).orElse(0L),
                "unread_before",
                forecast.map(PlacementForecast::unreadTokens).orElse(0L),
                "forecast_ms",
                forecast.map(PlacementForecast::firstEventMillis).orElse(0L),
                "first_event_ms",
                course.timing().firstEventMillis().orElse(-1),
                "longest_pause_ms",
                course.timing().longestPauseMillis(),
                "since_sent_ms",
                course.sinceSentMillis().orElse(-1),
                "ms",
                course.millis());
    }
}
