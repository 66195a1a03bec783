package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Optional;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.admission.FixedWindow;
import org.streamring.kernel.route.RouteTable;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;

/** Finds route and account of each request, and starts it or refuses it. Confined to the event loop. */
public final class RequestRouter implements RequestSink {
    private static final String KEY_SCHEME = "Bearer ";
    private static final Duration UNTIL_CONFIGURED = Duration.ofMillis(500);
    private static final Duration ELSEWHERE = Duration.ofMillis(20);
    private static final ActiveRequest NOTHING = new Ended();

    private final RequestServices services;
    private final HeaderFilter filter;
    private final PlaceQueue places;
    private int runningStreams;

    /** Creates one. */
    public RequestRouter(RequestServices services) {
        this.services = services;
        this.filter = new HeaderFilter(services.names());
        this.places = new PlaceQueue(services.loop(), services.clock(), new FixedWindow());
    }

    @Override
    public ActiveRequest serve(CallerRequest request, AnswerWriter writer) {
        Optional<RouteTable> configured = services.routes().get();
        if (configured.isEmpty()) {
            return refuse(request, writer, OwnAnswer.later("not_configured", UNTIL_CONFIGURED));
        }
        RouteTable table = configured.get();
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        Optional<Route> found = table.find(host, request.target());
        if (found.isEmpty()) {
            return refuse(request, writer, OwnAnswer.refusal(404, "no_route"));
        }
        Route route = found.get();
        Optional<PrepaidAccount> account = Optional.empty();
        if (table.needsKey(route)) {
            account = keyOf(request).flatMap(table::accountOfKey);
            if (account.isEmpty()) {
                return refuse(request, writer, OwnAnswer.refusal(401, "unknown_key"));
            }
        }
        if (!services.takes().test(route)) {
            return refuse(request, writer, OwnAnswer.later("entry_stops", ELSEWHERE));
        }
        String service = RouteTable.pickService(route, services.random().nextDouble());
        RequestPlan plan = RequestPlan.of(request, route, table.service(service), account, services.names());
        Runnable onOver = route.stream() ? () -> runningStreams-- : () -> {};
        runningStreams += route.stream() ? 1 : 0;
        DirectRequest started = new DirectRequest(services, places, filter, plan, request, writer, onOver);
        started.start();
        return started;
    }

    /** Streams in progress. */
    public int runningStreams() {
        return runningStreams;
    }

    private static Optional<String> keyOf(CallerRequest request) {
        return Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length()))
                .map(value -> value.substring(KEY_SCHEME.length()).trim());
    }

    private ActiveRequest refuse(CallerRequest request, AnswerWriter writer, OwnAnswer answer) {
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
                        services.routes().get().map(RouteTable::version).orElse(-1L));
        services.metrics().requestEnded(answer.reason(), 0, services.clock().getAsLong() - request.arrivedMillis());
        answer.write(writer, services.names(), id);
        return NOTHING;
    }

    private static final class Ended implements ActiveRequest {
        @Override
        public void callerGone() {
            // the answer was given already
        }

        @Override
        public void writabilityChanged(boolean writable) {
            // the answer was given already
        }
    }
}
