package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.store.StorePosition;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteKind;
import org.streamring.model.route.RouteTarget;
import org.streamring.model.route.RoutingConfiguration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests requests to a service without backend servers, in simulated time.
 *
 * <p>Guards against a request that is answered twice, so that later requests on the same connection get the wrong
 * answers. It was refused because no slot was free; the tokens it released resumed another request, which was refused
 * as well, and this in turn retried and refused the first request again. The statuses of four requests were {@code
 * [[503, 503], [503], [503], [503]]} with this fault. One caller got 503 for a request that then ran, and two got
 * answers to requests of others.
 */
public class RequestRouterTest {
    /** A request without a free slot waits for a fifth of its target latency. */
    private static final int WINDOWS_PER_TARGET = 5;

    private static final long WINDOW_MILLIS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OBSERVATIONS_PER_TIMEOUT = 50;

    private EmbeddedChannel time;
    private NioEventLoopGroup loops;
    private long nowMillis;
    private LoneEntry entry;
    private OneReservationAtATime tokens;
    private RequestRouter router;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        loops = new NioEventLoopGroup(1);
        nowMillis = 0;
        tokens = new OneReservationAtATime();
        entry = new LoneEntry(time.eventLoop(), loops, () -> nowMillis, tokens, configuration());
        router = new RequestRouter(entry.services);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        time.close();
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        entry.close();
    }

    @Test
    public void eachRequestIsAnsweredOnceWhenItsReleasedTokensResumeAnotherRequest() {
        List<RecordingWriter> answers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            RecordingWriter writer = new RecordingWriter();
            answers.add(writer);
            router.serve(request("r-" + i), writer);
        }
        advance(2 * WINDOW_MILLIS);
        assertThat(answers).extracting(each -> each.statuses).allMatch(List.of(503)::equals);
    }

    @Test
    public void theTokensOfARefusedRequestAreSettledOnce() {
        for (int i = 0; i < 4; i++) {
            router.serve(request("r-" + i), new RecordingWriter());
        }
        advance(2 * WINDOW_MILLIS);
        assertThat(tokens.settled).isEqualTo(4);
    }

    @DataProvider
    public Object[][] unreadableTokenCounts() {
        return new Object[][] {{"9223372036854775807,1"}, {"1,9223372036854775807"}, {"-1,20"}, {"100"}, {"many,20"}};
    }

    /** Guards against prepaid tokens used without a reservation, as the sum of the declared counts overflows. */
    @Test(dataProvider = "unreadableTokenCounts")
    public void aRequestOfAPrepaidAccountWhoseTokenCountsCannotBeReadIsRefused(String counts) {
        CallerRequest request = request("r-0");
        request.headers().set(TestHeaders.NAMES.tokens(), counts);
        RecordingWriter writer = new RecordingWriter();
        router.serve(request, writer);
        advance(2 * WINDOW_MILLIS);
        assertThat(writer.statuses).containsExactly(400);
        assertThat(tokens.reserved).isZero();
    }

    @Test
    public void aRequestWhoseCallerHasDisconnectedReservesNoTokens() {
        RecordingWriter disconnected = new RecordingWriter();
        disconnected.callerPresent = false;
        router.serve(request("r-0"), disconnected);
        RecordingWriter next = new RecordingWriter();
        router.serve(request("r-1"), next);
        advance(2 * WINDOW_MILLIS);

        assertThat(disconnected.statuses).isEmpty();
        assertThat(tokens.reserved).isEqualTo(1);
    }

    /** A backend server is listed when the tokens arrive. Connecting to it fails, which shows that it was tried. */
    @Test(dataProvider = "whetherTheCallerIsStillConnected")
    public void anAttemptBeginsAfterAWaitForTokensOnlyIfTheCallerIsStillConnected(boolean connected)
            throws InterruptedException {
        tokens.beforeNext = () -> entry.registry.put(
                new BackendInstance("i-1", "assist", "127.0.0.1", 1, "hall", 8, true, 0, 0, "v1"), nowMillis);
        router.serve(request("r-0"), new RecordingWriter());
        RecordingWriter waiting = new RecordingWriter();
        router.serve(request("r-1"), waiting);
        waiting.callerPresent = connected;
        advance(2 * WINDOW_MILLIS);

        entry.close();
        assertThat(attempts("r-1") > 0).isEqualTo(connected);
        assertThat(waiting.statuses).hasSize(connected ? 1 : 0);
        assertThat(tokens.settled).isEqualTo(2);
    }

    /** Connecting fails at once, within the call that begins the attempt. */
    @Test
    public void aRequestWhoseAttemptEndsAtOnceIsAnsweredOnce() {
        entry.registry.put(
                new BackendInstance("i-1", "assist", "127.0.0.1", 1, "hall", 8, true, 0, 0, "v1"), nowMillis);
        RecordingWriter answer = new RecordingWriter();
        router.serve(request("r-0"), answer);
        advance(2 * WINDOW_MILLIS);
        assertThat(answer.statuses).containsExactly(503);
    }

    @Test
    public void aRequestThatWaitsForTheOriginOfItsStreamIsRefusedWhenTheProcessExits() {
        observeTheOnlyOrigin();
        RecordingWriter answer = new RecordingWriter();
        CallerRequest request = request("r-0", "/s/b");
        request.headers().set(TestHeaders.NAMES.lastEventId(), "3").set(TestHeaders.NAMES.deadline(), "4000");
        RequestSink.ActiveRequest waiting = router.serve(request, answer);
        assertThat(answer.statuses).isEmpty();
        waiting.processExits();
        assertThat(answer.statuses).containsExactly(503);
        entry.backends.confirm(new StorePosition(1, 1), nowMillis + 1);
        advance(2 * WINDOW_MILLIS);
        assertThat(answer.statuses).containsExactly(503);
        assertThat(tokens.reserved).isZero();
    }

    /** Lets the route of streams have one service and one software version for longer than its streams last. */
    private void observeTheOnlyOrigin() {
        entry.registry.put(
                new BackendInstance("i-1", "assist", "127.0.0.1", 1, "hall", 8, true, 0, 0, "v1"), nowMillis);
        for (int i = 0; i < 2 * OBSERVATIONS_PER_TIMEOUT; i++) {
            nowMillis += TIMEOUT.toMillis() / OBSERVATIONS_PER_TIMEOUT;
            entry.backends.confirm(new StorePosition(1, 1), nowMillis);
            entry.services.streams().update();
        }
        nowMillis++;
    }

    @DataProvider
    public Object[][] whetherTheCallerIsStillConnected() {
        return new Object[][] {{true}, {false}};
    }

    private long attempts(String id) {
        return entry.logged()
                .lines()
                .filter(line -> line.contains("\"attempt_failed\"") && line.contains('"' + id + '"'))
                .count();
    }

    private void advance(long millis) {
        for (long each = 0; each < millis; each++) {
            nowMillis++;
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runPendingTasks();
        }
    }

    private CallerRequest request(String id) {
        return request(id, "/a/b");
    }

    private CallerRequest request(String id, String target) {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("host", "h.example")
                .set("authorization", "Bearer key")
                .set(TestHeaders.NAMES.requestId(), id)
                .set(TestHeaders.NAMES.tokens(), "100,20");
        return new CallerRequest(HttpMethod.POST, target, headers, new byte[0], nowMillis);
    }

    private static RoutingConfiguration configuration() {
        Route route = route("/a/", RouteKind.REPEATABLE, false);
        Route streams = route("/s/", RouteKind.STREAM, true);
        PrepaidAccount account =
                new PrepaidAccount("hotel", List.of("key"), OptionalInt.empty(), OptionalLong.of(1_000));
        return new RoutingConfiguration(1, List.of(route, streams), List.of(), List.of(account), CallerLimits.DEFAULT);
    }

    private static Route route(String pathPrefix, RouteKind kind, boolean resumable) {
        return new Route(
                "r" + pathPrefix,
                "h.example",
                pathPrefix,
                kind,
                resumable,
                false,
                0,
                2,
                TIMEOUT,
                Duration.ofMillis(WINDOW_MILLIS * WINDOWS_PER_TARGET),
                Duration.ofSeconds(1),
                List.of(new RouteTarget("assist", 1)));
    }

    /** Has tokens for one request at a time; the next one gets them as soon as they are returned. */
    private static final class OneReservationAtATime implements TokenSource {
        private final List<Consumer<Outcome>> waiting = new ArrayList<>();
        private Runnable beforeNext = () -> {};
        private boolean taken;
        private int reserved;
        private int settled;

        @Override
        public Pending reserve(String account, long tokens, Consumer<Outcome> onOutcome) {
            reserved++;
            if (taken) {
                waiting.add(onOutcome);
            } else {
                taken = true;
                onOutcome.accept(Outcome.RESERVED);
            }
            return () -> waiting.remove(onOutcome);
        }

        @Override
        public void settle(String account, long reserved, long used) {
            settled++;
            if (waiting.isEmpty()) {
                taken = false;
            } else {
                beforeNext.run();
                waiting.remove(0).accept(Outcome.RESERVED);
            }
        }

        @Override
        public Duration untilAvailable() {
            return Duration.ZERO;
        }
    }

    private static final class RecordingWriter extends UnstreamedAnswer {
        private final List<Integer> statuses = new ArrayList<>();

        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {
            statuses.add(status);
        }

        @Override
        public void abort(String reason) {
            statuses.add(0);
        }
    }
}
