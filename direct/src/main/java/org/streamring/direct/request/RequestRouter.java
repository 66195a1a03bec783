package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Optional;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.admission.FixedWindow;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;

/** Resolves the route and the account of each request, then starts or refuses it. Confined to the event loop. */
public final class RequestRouter implements RequestSink {
    private static final String KEY_SCHEME = "Bearer ";
    private static final Duration CONFIGURATION_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration OTHER_ENTRY_RETRY_AFTER = Duration.ofMillis(20);
    private static final ActiveRequest ALREADY_ANSWERED = new AnsweredRequest();

    private final RequestServices services;
    private final HeaderFilter filter;
    private final SlotQueue slots;
    private int runningStreams;

    /** Creates a router with an empty queue of waiting requests. */
    public RequestRouter(RequestServices services) {
        this.services = services;
        this.filter = new HeaderFilter(services.names());
        this.slots = new SlotQueue(services.loop(), services.clock(), new FixedWindow());
    }

    @Override
    public ActiveRequest serve(CallerRequest request, AnswerWriter writer) {
        Optional<RouteTable> currentRoutes = services.routes().get();
        if (currentRoutes.isEmpty()) {
            return refuse(request, writer, LocalAnswer.retryLater("not_configured", CONFIGURATION_RETRY_AFTER));
        }
        RouteTable table = currentRoutes.get();
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        Optional<Route> found = table.find(host, request.target());
        if (found.isEmpty()) {
            return refuse(request, writer, LocalAnswer.refusal(404, "no_route"));
        }
        Route route = found.get();
        Optional<PrepaidAccount> account = Optional.empty();
        if (table.needsKey(route)) {
            account = keyOf(request).flatMap(table::accountOfKey);
            if (account.isEmpty()) {
                return refuse(request, writer, LocalAnswer.refusal(401, "unknown_key"));
            }
        }
        if (hasUnreadableTokens(request, account)) {
            return refuse(request, writer, LocalAnswer.refusal(400, "token_counts_unreadable"));
        }
        if (!services.canFinishBeforeStop().test(route)) {
            return refuse(request, writer, LocalAnswer.retryLater("entry_stops", OTHER_ENTRY_RETRY_AFTER));
        }
        Arrival arrival = new Arrival(request, writer, table, route, account);
        Optional<ResumedStream> resumed = ResumedStream.of(request.headers(), services.names());
        if (resumed.isPresent() && route.stream() && route.resumable()) {
            return resume(arrival, resumed.get());
        }
        String service = RouteTable.pickService(route, services.random().nextDouble());
        return start(arrival, service, Optional.empty());
    }

    @Override
    public void refused(String requestId, int status, String reason, String detail) {
        services.log()
                .line(
                        "request_refused",
                        "request",
                        requestId,
                        "status",
                        status,
                        "reason",
                        reason,
                        "detail",
                        detail,
                        "config",
                        versionInForce());
    }

    private long versionInForce() {
        return services.routes().get().map(RouteTable::version).orElse(-1L);
    }

    /** Whether tokens that a prepaid account has to cover are declared, but can't be read. */
    private boolean hasUnreadableTokens(CallerRequest request, Optional<PrepaidAccount> account) {
        String declared = request.headers().get(services.names().tokens());
        boolean prepaid = account.filter(each -> each.prepaid().isPresent()).isPresent();
        return prepaid && declared != null && DeclaredTokens.parse(declared).isEmpty();
    }

    /** A request whose route and account are known. */
    private record Arrival(
            CallerRequest request,
            AnswerWriter writer,
            RouteTable table,
            Route route,
            Optional<PrepaidAccount> account) {}

    private ActiveRequest resume(Arrival arrival, ResumedStream resumed) {
        StreamResumption.Starter starter = new StreamResumption.Starter() {
            @Override
            public ActiveRequest serve(StreamOrigin origin) {
                return start(arrival, origin.service(), Optional.of(origin));
            }

            @Override
            public ActiveRequest refuse(LocalAnswer answer) {
                return RequestRouter.this.refuse(arrival.request(), arrival.writer(), answer);
            }
        };
        StreamResumption resumption = new StreamResumption(
                services, arrival.request(), arrival.writer(), arrival.route(), arrival.account(), resumed, starter);
        resumption.start();
        return resumption;
    }

    private ActiveRequest start(Arrival arrival, String service, Optional<StreamOrigin> origin) {
        RequestPlan plan = RequestPlan.of(
                arrival.request(),
                arrival.route(),
                arrival.table().service(service),
                arrival.account(),
                services.names());
        boolean stream = arrival.route().stream();
        Runnable onFinished = stream ? () -> runningStreams-- : () -> {};
        runningStreams += stream ? 1 : 0;
        DirectRequest started = new DirectRequest(
                services, slots, filter, plan, origin, arrival.request(), arrival.writer(), onFinished);
        started.start();
        return started;
    }

    /** Returns the number of streams in progress. */
    public int runningStreams() {
        return runningStreams;
    }

    private static Optional<String> keyOf(CallerRequest request) {
        return Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length()))
                .map(value -> value.substring(KEY_SCHEME.length()).trim());
    }

    private ActiveRequest refuse(CallerRequest request, AnswerWriter writer, LocalAnswer answer) {
        String id = Optional.ofNullable(request.headers().get(services.names().requestId()))
                .orElse("");
        services.log()
                .line(
                        "request_refused",
                        "request",
                        id,
                        "status",
                        answer.status(),
                        "reason",
                        answer.reason(),
                        "config",
                        versionInForce());
        services.metrics().requestEnded(answer.reason(), 0, services.clock().getAsLong() - request.arrivedMillis());
        answer.write(writer, services.names(), id);
        return ALREADY_ANSWERED;
    }

    private static final class AnsweredRequest implements ActiveRequest {
        @Override
        public Progress progress() {
            return Progress.NONE;
        }

        @Override
        public void callerGone() {
            // the answer was already sent
        }

        @Override
        public void writabilityChanged(boolean writable) {
            // the answer was already sent
        }
    }
}
