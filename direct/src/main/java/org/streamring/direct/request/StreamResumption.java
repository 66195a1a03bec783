package org.streamring.direct.request;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.direct.peer.StreamOriginExchange.KnownOrigin;
import org.streamring.kernel.stream.ResumeDecision;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;

/**
 * A request that resumes a stream: finds out where the stream began, then serves the request bound to that origin or
 * refuses it. Confined to the event loop.
 */
final class StreamResumption implements RequestSink.ActiveRequest {
    /** Another entry may know the origin, or the configuration may change back. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(250);

    private final RequestServices services;
    private final CallerRequest request;
    private final AnswerWriter writer;
    private final Route route;
    private final String account;
    private final ResumedStream resumed;
    private final Starter starter;
    private final long startedMillis;
    private RequestSink.@Nullable ActiveRequest continued;
    private boolean callerGone;

    /** Starts or refuses the request once the decision is made. */
    interface Starter {
        RequestSink.ActiveRequest serve(StreamOrigin origin);

        RequestSink.ActiveRequest refuse(LocalAnswer answer);
    }

    StreamResumption(
            RequestServices services,
            CallerRequest request,
            AnswerWriter writer,
            Route route,
            Optional<PrepaidAccount> account,
            ResumedStream resumed,
            Starter starter) {
        this.services = services;
        this.request = request;
        this.writer = writer;
        this.route = route;
        this.account = account.map(PrepaidAccount::name).orElse("");
        this.resumed = resumed;
        this.starter = starter;
        this.startedMillis = services.clock().getAsLong();
    }

    void start() {
        services.streams().exchange().find(resumed.stream(), this::decide);
    }

    private void decide(Optional<KnownOrigin> known) {
        if (known.isPresent() || onlyPossible().isEmpty()) {
            decide(known, Optional.empty());
            return;
        }
        services.streams()
                .awaitCurrentBackends(
                        startedMillis, current -> decide(known, current ? onlyPossible() : Optional.empty()));
    }

    private void decide(Optional<KnownOrigin> known, Optional<StreamOrigin> only) {
        if (continued != null || callerGone || !writer.callerPresent()) {
            return;
        }
        Optional<StreamOrigin> recorded = known.map(KnownOrigin::origin);
        ResumeDecision decision = ResumeDecision.of(recorded, only, account, route.services());
        log(decision, known);
        services.metrics().streamResumed(decision.outcome().name());
        continued = decision.origin().map(starter::serve).orElseGet(() -> starter.refuse(refusal(decision)));
    }

    private Optional<StreamOrigin> onlyPossible() {
        long resumePeriod = RequestPlan.resumePeriod(request, route, services.names());
        return services.streams().onlyPossible(route, account, route.timeout().toMillis() + resumePeriod);
    }

    private static LocalAnswer refusal(ResumeDecision decision) {
        return switch (decision.outcome()) {
            case OTHER_ACCOUNT -> LocalAnswer.refusal(403, "stream_of_other_account");
            case SERVICE_NOT_ROUTED -> LocalAnswer.retryLater("stream_service_not_routed", RETRY_AFTER);
            default -> LocalAnswer.retryLater("stream_origin_unknown", RETRY_AFTER);
        };
    }

    private void log(ResumeDecision decision, Optional<KnownOrigin> known) {
        Optional<StreamOrigin> origin = known.map(KnownOrigin::origin).or(decision::origin);
        services.log()
                .line(
                        "stream_resumed",
                        "request",
                        Optional.ofNullable(
                                        request.headers().get(services.names().requestId()))
                                .orElse(""),
                        "stream",
                        resumed.stream(),
                        "last_event",
                        resumed.lastEventId(),
                        "outcome",
                        decision.outcome(),
                        "service",
                        origin.map(StreamOrigin::service).orElse(""),
                        "software",
                        origin.map(StreamOrigin::softwareVersion).orElse(""),
                        "known_by",
                        known.map(KnownOrigin::knownBy).orElse(""),
                        "age_ms",
                        known.map(KnownOrigin::ageMillis).orElse(-1L),
                        "backends_age_ms",
                        services.streams().backendsAgeMillis(),
                        "ms",
                        services.clock().getAsLong() - startedMillis);
    }

    @Override
    public RequestSink.Progress progress() {
        return continued == null ? RequestSink.Progress.NONE : continued.progress();
    }

    @Override
    public void callerGone() {
        callerGone = true;
        if (continued != null) {
            continued.callerGone();
        }
    }

    @Override
    public void processExits() {
        if (continued == null) {
            continued = starter.refuse(LocalAnswer.retryLater("entry_stopped_not_run", RETRY_AFTER));
        } else {
            continued.processExits();
        }
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (continued != null) {
            continued.writabilityChanged(writable);
        }
    }
}
