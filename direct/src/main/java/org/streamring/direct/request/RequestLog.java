package org.streamring.direct.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.limit.FleetRetryBudget;
import org.streamring.kernel.placement.PlacementForecast;
import org.streamring.kernel.prepaid.RequestUsage;
import org.streamring.kernel.suspect.RequestTraits;
import org.streamring.kernel.suspect.SuspectId;

/** Logs failed attempts and the outcome of one request. Confined to the event loop. */
final class RequestLog {
    private static final int MAX_LOGGED_PARTS = 8;

    private final DecisionLog log;
    private final RequestPlan plan;

    /**
     * Attempts, usage and timing of a request up to its final answer.
     *
     * @param attempts number of attempts that may have reached a replica
     * @param unsent number of attempts for which no byte was sent
     * @param tokens prepaid tokens used
     * @param replica identifier of the last replica tried; empty if none was tried
     * @param software software version of that replica; empty if none was tried
     * @param forecast forecast for the last attempt
     * @param timing timing of the events passed on
     * @param sinceSentMillis milliseconds since the attempt in progress was written to its connection; empty if no
     *     attempt is in progress or it was not written yet
     * @param millis milliseconds since the arrival of the request
     */
    record Summary(
            int attempts,
            int unsent,
            long tokens,
            String replica,
            String software,
            Optional<PlacementForecast> forecast,
            StreamTiming timing,
            OptionalLong sinceSentMillis,
            long millis) {
        static Summary of(
                AttemptHistory attempts,
                long tokens,
                Optional<PlacementForecast> forecast,
                StreamTiming timing,
                OptionalLong sinceSentMillis,
                long millis) {
            return new Summary(
                    attempts.attempts(),
                    attempts.unsent(),
                    tokens,
                    attempts.lastReplicaId(),
                    attempts.lastSoftwareVersion(),
                    forecast,
                    timing,
                    sinceSentMillis,
                    millis);
        }
    }

    RequestLog(DecisionLog log, RequestPlan plan) {
        this.log = log;
        this.plan = plan;
    }

    /**
     * Logs an attempt that did not succeed.
     *
     * @param replica identifier of the replica that was tried
     * @param software software version of that replica
     * @param traits what the request has in common with others; empty if it can't be computed yet
     */
    void attemptFailed(AttemptEnd end, String replica, String software, Optional<RequestTraits> traits, long millis) {
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
                "detail",
                end.detail(),
                "replica",
                replica,
                "software",
                software,
                "digest",
                traits.map(each -> each.request().text()).orElse(""),
                "parts",
                traits.map(RequestLog::partsText).orElse(""),
                "begun",
                end.progress().begun(),
                "events",
                end.progress().events(),
                "ms",
                millis);
    }

    /**
     * Logs that an attempt fell silent.
     *
     * @param event name of what was decided for the attempt
     * @param lack what a second attempt lacks
     */
    void attemptSilent(String event, SilentAttempt silent, SilentAttempt.Lack lack, String replica, long millis) {
        log.line(
                event,
                "request",
                plan.id(),
                "service",
                plan.service().name(),
                "replica",
                replica,
                "silence",
                silent.silence(),
                "silent_ms",
                silent.silentMillis(),
                "replica_heard_ms_ago",
                silent.replicaHeardMillisAgo(),
                "events",
                silent.events(),
                "lacks",
                lack.text(),
                "ms",
                millis);
    }

    /** Returns the digests of the first and last shared parts of a prompt, in order. */
    private static String partsText(RequestTraits traits) {
        List<SuspectId> parts = traits.parts();
        String text =
                parts.stream().limit(MAX_LOGGED_PARTS / 2).map(SuspectId::text).collect(Collectors.joining(","));
        int skipped = Math.max(MAX_LOGGED_PARTS / 2, parts.size() - MAX_LOGGED_PARTS / 2);
        if (parts.size() <= MAX_LOGGED_PARTS / 2) {
            return text;
        }
        return text
                + (parts.size() > MAX_LOGGED_PARTS ? ",…," : ",")
                + parts.stream().skip(skipped).map(SuspectId::text).collect(Collectors.joining(","));
    }

    /**
     * Logs that a stream found no replica of the software version that began it.
     *
     * @param replicas replicas of that version and why each was not chosen
     */
    void boundStreamNotPlaced(String software, String replicas, long millis) {
        log.line(
                "bound_stream_not_placed",
                "request",
                plan.id(),
                "service",
                plan.service().name(),
                "software",
                software,
                "replicas",
                replicas,
                "ms",
                millis);
    }

    /**
     * Logs how the tokens of a request were settled.
     *
     * @param used prompt and answer tokens
     * @param answer answer tokens by what is known of them
     * @param attempts number of attempts that may have reached a replica
     */
    void tokensSettled(long used, RequestUsage.AnswerTokens answer, int attempts) {
        log.line(
                "tokens_settled",
                "request",
                plan.id(),
                "account",
                plan.accountName(),
                "prompt",
                plan.tokens().map(DeclaredTokens::prompt).orElse(0L),
                "max_answer",
                plan.tokens().map(DeclaredTokens::maxAnswer).orElse(0L),
                "used",
                used,
                "received",
                answer.received(),
                "unknown",
                answer.unknown(),
                "attempts",
                attempts);
    }

    /**
     * Logs whether the request may be sent again.
     *
     * @param use requests and retries by which this entry decided
     */
    void retryDecided(boolean granted, FleetRetryBudget.Use use, long millis) {
        log.line(
                granted ? "retry_granted" : "retry_refused",
                "request",
                plan.id(),
                "service",
                plan.service().name(),
                "requests",
                use.requests(),
                "sent",
                use.sent(),
                "granted",
                use.granted(),
                "allowed",
                use.allowed(),
                "entries",
                use.fleet().entries(),
                "entries_age_ms",
                use.fleet().ageMillis(),
                "ms",
                millis);
    }

    /** Logs that a retry is written to a connection, and how long ago it was granted. */
    void retrySent(String replica, long grantedMillisAgo, long millis) {
        log.line(
                "retry_sent",
                "request",
                plan.id(),
                "service",
                plan.service().name(),
                "replica",
                replica,
                "granted_ms_ago",
                grantedMillisAgo,
                "ms",
                millis);
    }

    void ended(String outcome, int status, Summary summary) {
        Optional<PlacementForecast> forecast = summary.forecast();
        log.line(
                "request_ended",
                "request",
                plan.id(),
                "route",
                plan.route().name(),
                "service",
                plan.service().name(),
                "account",
                plan.prepaidAccount().orElse(""),
                "rank",
                plan.rank(),
                "outcome",
                outcome,
                "status",
                status,
                "attempts",
                summary.attempts(),
                "unsent",
                summary.unsent(),
                "tokens_used",
                summary.tokens(),
                "tokens_at_most",
                plan.tokens().map(DeclaredTokens::maxTotal).orElse(0L),
                "replica",
                summary.replica(),
                "software",
                summary.software(),
                "resumes",
                plan.resumed().map(ResumedStream::stream).orElse(""),
                "last_event",
                plan.resumed().map(ResumedStream::lastEventId).orElse(""),
                "tokens_to_read",
                forecast.map(PlacementForecast::uncachedTokens).orElse(0L),
                "unread_before",
                forecast.map(PlacementForecast::pendingPromptTokens).orElse(0L),
                "forecast_ms",
                forecast.map(PlacementForecast::firstEventMillis).orElse(0L),
                "first_event_ms",
                summary.timing().firstEventMillis().orElse(-1),
                "longest_pause_ms",
                summary.timing().longestPauseMillis(),
                "since_sent_ms",
                summary.sinceSentMillis().orElse(-1),
                "ms",
                summary.millis());
    }
}
