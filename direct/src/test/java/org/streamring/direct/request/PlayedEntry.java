package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.limit.FleetRetryBudget;
import org.streamring.kernel.permit.LimitWord;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteKind;
import org.streamring.model.route.RouteTarget;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.model.route.ServiceTraits;

/** An entry on a real event loop whose clock stands still unless a test moves it, so that silences take no time. */
final class PlayedEntry implements AutoCloseable {
    static final String SERVICE = "assist";
    static final long PROMPT_TOKENS = 100;
    static final long ANSWER_TOKENS = 20;
    /** A little more than the time after which an attempt counts as silent. */
    static final long SILENCE_MILLIS = 1_050;

    private static final double REQUESTS_PER_SECOND = 2;
    private static final String PATH = "/a/";
    private static final String PATH_WITH_ONE_ATTEMPT = "/b/";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final AtomicLong nowMillis = new AtomicLong(100_000);
    private final List<PlayedReplica> replicas = new ArrayList<>();
    final HeldTokens tokens = new HeldTokens();
    final LoneEntry parts;
    private final RequestRouter router;

    /** A request in progress. */
    record Running(RequestSink.ActiveRequest request, RecordedAnswer answer) {}

    PlayedEntry(RouteKind kind, int maxAttempts) {
        parts = new LoneEntry(loop, loops, nowMillis::get, tokens, configuration(kind, maxAttempts, "key"));
        router = new RequestRouter(parts.services);
    }

    /** Returns a configuration of one account, a route, and another one whose requests have one attempt. */
    static RoutingConfiguration configuration(RouteKind kind, int maxAttempts, String key) {
        return configuration(routes(kind, maxAttempts, SERVICE), List.of(), key);
    }

    static RoutingConfiguration configuration(List<Route> routes, List<ServiceTraits> services, String key) {
        PrepaidAccount account = new PrepaidAccount("hotel", List.of(key), OptionalInt.empty(), OptionalLong.of(1_000));
        return new RoutingConfiguration(1, routes, services, List.of(account), CallerLimits.DEFAULT);
    }

    static List<Route> routes(RouteKind kind, int maxAttempts, String service) {
        return List.of(
                route(PATH, kind, maxAttempts, service),
                route(PATH_WITH_ONE_ATTEMPT, RouteKind.REPEATABLE, 1, service));
    }

    private static Route route(String path, RouteKind kind, int maxAttempts, String service) {
        return new Route(
                path,
                "h.example",
                path,
                kind,
                false,
                false,
                0,
                maxAttempts,
                Duration.ofSeconds(60),
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                List.of(new RouteTarget(service, 1)));
    }

    /** Runs a task on the event loop and returns its result. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(5, TimeUnit.SECONDS);
    }

    /** Adds a replica to the service. */
    PlayedReplica addReplica(String id) throws Exception {
        PlayedReplica replica = new PlayedReplica(id);
        replicas.add(replica);
        put(replica.row(SERVICE, true));
        return replica;
    }

    void put(BackendInstance row) throws Exception {
        onLoop(() -> {
            parts.registry.put(row, now());
            return true;
        });
    }

    Running begin(String id) throws Exception {
        return begin(id, PATH);
    }

    Running beginWithOneAttempt(String id) throws Exception {
        return begin(id, PATH_WITH_ONE_ATTEMPT);
    }

    /** Begins a request, and runs a task before its connection is opened. */
    Running beginAndBeforeConnected(String id, Runnable task) throws Exception {
        return begin(id, PATH, task);
    }

    private Running begin(String id, String path) throws Exception {
        return begin(id, path, () -> {});
    }

    private Running begin(String id, String path, Runnable then) throws Exception {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("host", "h.example")
                .set("authorization", "Bearer key")
                .set(TestHeaders.NAMES.requestId(), id)
                .set(TestHeaders.NAMES.tokens(), PROMPT_TOKENS + "," + ANSWER_TOKENS);
        CallerRequest request = new CallerRequest(HttpMethod.POST, path, headers, new byte[0], now());
        RecordedAnswer answer = new RecordedAnswer();
        return onLoop(() -> {
            RequestSink.ActiveRequest active = router.serve(request, answer);
            then.run();
            return new Running(active, answer);
        });
    }

    long now() {
        return nowMillis.get();
    }

    void advance(long millis) throws Exception {
        onLoop(() -> nowMillis.addAndGet(millis));
    }

    /** Moves the clock; to be called on the event loop. */
    void advanceOnLoop(long millis) {
        nowMillis.addAndGet(millis);
    }

    /** Lets a replica announce a limit, so that it receives nothing without a permit of this entry. */
    void announceLimit(String incarnation) throws Exception {
        onLoop(() -> {
            announceLimitOnLoop(incarnation);
            return true;
        });
    }

    /** Lets a replica announce a limit; to be called on the event loop. */
    void announceLimitOnLoop(String incarnation) {
        parts.permits.entries(Set.of(LoneEntry.NAME), Set.of(), now());
        parts.permits.answered(incarnation, LimitWord.named(REQUESTS_PER_SECOND), now(), now());
    }

    boolean holdsPermit(String incarnation) throws Exception {
        return onLoop(() -> parts.permits.limits().mayBePlaced(incarnation, now()));
    }

    /** Takes all retries of the service that are left. */
    List<FleetRetryBudget.Grant> takeAllRetries() throws Exception {
        return onLoop(() -> {
            List<FleetRetryBudget.Grant> taken = new ArrayList<>();
            FleetRetryBudget budget = parts.fleet.retries(SERVICE);
            Optional<FleetRetryBudget.Grant> next = budget.tryRetry(now());
            while (next.isPresent()) {
                taken.add(next.get());
                next = budget.tryRetry(now());
            }
            return taken;
        });
    }

    /** Waits until a line with this text was logged. */
    void awaitLogged(String text) {
        Awaitility.await().until(() -> parts.logged().contains(text));
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (PlayedReplica each : replicas) {
            each.close();
        }
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        parts.close();
    }
}
