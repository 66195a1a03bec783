package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import org.awaitility.Awaitility;
import org.streamring.direct.request.PlayedEntry.Running;
import org.streamring.direct.request.PlayedReplica.Connection;
import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.placement.ColdLimit;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteKind;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.model.route.ServiceTraits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a second run, and against what is not given back, if something happens while one is prepared. */
public class PreparedAttemptsTest {
    private static final long TOKENS_OF_ONE_RUN = PlayedEntry.PROMPT_TOKENS + PlayedEntry.ANSWER_TOKENS;
    private static final String ANOTHER_SERVICE = "another service";
    private static final long COLD_MILLIS = 60_000;
    /** More than the time after which an unused permit expires, and after which its owner grants another one. */
    private static final long NEXT_PERMIT_MILLIS = 5_000;
    /** Lets each of the entries that may send to a cold replica place one request. */
    private static final ColdLimit ONE_REQUEST = new ColdLimit(3, 6);

    private PlayedEntry entry;
    private PlayedReplica second;
    private Running running;
    private Connection silent;

    /** Begins a request at a replica that falls silent, and lets the tokens of its second run arrive later. */
    @BeforeMethod
    public void setUp() throws Exception {
        entry = new PlayedEntry(RouteKind.REPEATABLE, 2);
        PlayedReplica first = entry.addReplica("i-1");
        running = entry.begin("r-1");
        silent = first.accept();
        assertThat(silent.readRequest()).contains("r-1");
        second = entry.addReplica("i-2");
        entry.onLoop(() -> entry.tokens.hold = true);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        entry.close();
    }

    private void awaitReservation() throws Exception {
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        Awaitility.await().until(() -> entry.onLoop(entry.tokens::heldBack) == 1);
    }

    /** Lets the connection for the second run be opened, and something happen before it is. */
    private void whileConnecting(Callable<?> event) throws Exception {
        awaitReservation();
        entry.onLoop(() -> {
            entry.tokens.deliver();
            return event.call();
        });
    }

    private Object heardAgain() throws IOException {
        silent.writeHead("r-1");
        return silent;
    }

    private BackendInstance secondRow() {
        return second.row(PlayedEntry.SERVICE, true);
    }

    private void assertAnsweredByFirst() throws Exception {
        silent.answer("r-1");
        assertThat(running.answer().get()).isEqualTo("200 ok");
    }

    @Test
    public void aRequestIsNotSentAgainIfItsReplicaIsHeardWhileAConnectionToAnotherIsOpened() throws Exception {
        whileConnecting(this::heardAgain);
        assertThat(second.accept().readRequest()).isEmpty();
        silent.write("ok");
        assertThat(running.answer().get()).isEqualTo("200 ok");
        assertThat(entry.parts.logged()).doesNotContain("retry_sent");
    }

    @Test
    public void theTokensOfARunThatDoesNotBeginAreGivenBackAtOnce() throws Exception {
        whileConnecting(this::heardAgain);
        second.accept().readRequest();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isEqualTo(TOKENS_OF_ONE_RUN);
    }

    @Test
    public void theRetryOfARunThatDoesNotBeginIsGivenBackAtOnce() throws Exception {
        whileConnecting(this::heardAgain);
        second.accept().readRequest();
        assertThat(entry.onLoop(() ->
                        entry.parts.fleet.retries(PlayedEntry.SERVICE).use().granted()))
                .isZero();
    }

    @DataProvider
    public Object[][] reasonsNotToBegin() {
        Callable<?> callerLeaves = () -> {
            running.request().callerGone();
            return true;
        };
        return new Object[][] {{"heard again", (Callable<?>) this::heardAgain}, {"caller left", callerLeaves}};
    }

    @Test(dataProvider = "reasonsNotToBegin")
    public void thePermitOfARunThatDoesNotBeginIsGivenBack(String reason, Callable<?> event) throws Exception {
        String incarnation = secondRow().incarnation();
        entry.announceLimit(incarnation);
        whileConnecting(event);
        second.accept().readRequest();
        assertThat(entry.holdsPermit(incarnation)).as(reason).isTrue();
    }

    @Test(dataProvider = "reasonsNotToBegin")
    public void aRunThatDoesNotBeginDoesNotCountAgainstAColdReplica(String reason, Callable<?> event) throws Exception {
        entry.onLoop(() -> {
            entry.parts.cold.recordCold(secondRow().id(), COLD_MILLIS, entry.now());
            return true;
        });
        whileConnecting(event);
        second.accept().readRequest();
        assertThat(entry.onLoop(() -> entry.parts.cold.mayPlace(secondRow().id(), ONE_REQUEST, entry.now())))
                .as(reason)
                .isTrue();
    }

    @Test(dataProvider = "reasonsNotToBegin")
    public void aRunThatDoesNotBeginIsNotTheOnlyRequestAfterABackOff(String reason, Callable<?> event)
            throws Exception {
        String incarnation = secondRow().incarnation();
        entry.onLoop(() -> {
            entry.parts.availability.answered(incarnation, false, new BackendNotice(false, 1), entry.now());
            return true;
        });
        whileConnecting(event);
        second.accept().readRequest();
        assertThat(entry.onLoop(() -> entry.parts.availability.isAvailable(incarnation, entry.now())))
                .as(reason)
                .isTrue();
    }

    @Test
    public void noPermitIsAskedForIfTheLastRetryGoesWhileTokensAreAwaited() throws Exception {
        String incarnation = secondRow().incarnation();
        entry.announceLimit(incarnation);
        awaitReservation();
        entry.advance(NEXT_PERMIT_MILLIS);
        assertThat(entry.holdsPermit(incarnation)).isFalse();
        entry.takeAllRetries();
        entry.onLoop(() -> {
            entry.tokens.deliver();
            return true;
        });
        entry.awaitLogged("\"lacks\":\"retry\"");
        assertThat(entry.holdsPermit(incarnation)).isFalse();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isEqualTo(TOKENS_OF_ONE_RUN);
        assertAnsweredByFirst();
    }

    @Test
    public void aRequestIsNotSentAgainIfTheOtherReplicaIsAboutToShutDown() throws Exception {
        whileConnecting(() -> {
            entry.parts.availability.answered(
                    secondRow().incarnation(), false, new BackendNotice(true, 0), entry.now());
            return true;
        });
        assertThat(second.accept().readRequest()).isEmpty();
        assertAnsweredByFirst();
    }

    @Test
    public void aRequestWhoseCallerLeftUnnoticedIsNotSentAgain() throws Exception {
        whileConnecting(() -> running.answer().callerPresent = false);
        assertThat(second.accept().readRequest()).isEmpty();
    }

    @Test
    public void aRequestWhoseCallerLeavesIsNotSentAgainAndCountsOneRun() throws Exception {
        whileConnecting(() -> {
            running.request().callerGone();
            return true;
        });
        assertThat(second.accept().readRequest()).isEmpty();
        assertThat(silent.isReset()).isTrue();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isZero();
        assertThat(entry.onLoop(() -> entry.tokens.used)).isEqualTo(TOKENS_OF_ONE_RUN);
    }

    @Test
    public void tokensThatArriveAfterTheCallerLeftAreGivenBack() throws Exception {
        awaitReservation();
        entry.onLoop(() -> {
            running.request().callerGone();
            return true;
        });
        assertThat(entry.onLoop(entry.tokens::heldBack)).isZero();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isZero();
        assertThat(second.isConnectedTo()).isFalse();
    }

    @Test
    public void aRequestIsNotSentAgainIfTheEntryStopsAndItsCallerIsTold() throws Exception {
        whileConnecting(() -> {
            running.request().processExits();
            return true;
        });
        assertThat(second.accept().readRequest()).isEmpty();
        assertThat(running.answer().get()).startsWith("504").contains("entry_stopped");
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isZero();
    }

    @Test
    public void aRequestIsSentAgainForItsAccountThoughTheConfigurationDropsItsKey() throws Exception {
        whileConnecting(() -> {
            entry.parts.configure(PlayedEntry.configuration(RouteKind.REPEATABLE, 2, "another key"));
            return true;
        });
        Connection next = second.accept();
        assertThat(next.readRequest()).contains("account: hotel");
        next.answer("r-1");
        assertThat(running.answer().get()).isEqualTo("200 ok");
        assertThat(silent.isReset()).isTrue();
        assertThat(entry.onLoop(() -> entry.tokens.used)).isEqualTo(TOKENS_OF_ONE_RUN + PlayedEntry.ANSWER_TOKENS);
    }

    @DataProvider
    public static Object[][] changesOfTheService() {
        List<Route> routes = PlayedEntry.routes(RouteKind.REPEATABLE, 2, PlayedEntry.SERVICE);
        List<ServiceTraits> engines = List.of(new ServiceTraits(PlayedEntry.SERVICE, 1, 5, 1_000, 0.1));
        List<Route> routesToAnother = PlayedEntry.routes(RouteKind.REPEATABLE, 2, ANOTHER_SERVICE);
        return new Object[][] {
            {"limited model engines", PlayedEntry.configuration(routes, engines, "key")},
            {"another service", PlayedEntry.configuration(routesToAnother, List.of(), "key")},
            {"no service", PlayedEntry.configuration(List.of(), List.of(), "key")}
        };
    }

    @Test(dataProvider = "changesOfTheService")
    public void aRequestIsSentAgainToItsServiceThoughThatChangesWhileTokensAreAwaited(
            String change, RoutingConfiguration changed) throws Exception {
        try (PlayedReplica ofAnother = new PlayedReplica("i-3")) {
            entry.put(ofAnother.row(ANOTHER_SERVICE, true));
            awaitReservation();
            entry.parts.configure(changed);
            entry.onLoop(() -> {
                entry.tokens.deliver();
                return true;
            });
            assertAnsweredBySecond(change);
            assertThat(ofAnother.isConnectedTo()).as(change).isFalse();
        }
    }

    @Test(dataProvider = "changesOfTheService")
    public void aRequestIsSentAgainToItsServiceThoughThatChangesWhileAConnectionIsOpened(
            String change, RoutingConfiguration changed) throws Exception {
        whileConnecting(() -> {
            entry.parts.configure(changed);
            return true;
        });
        assertAnsweredBySecond(change);
    }

    private void assertAnsweredBySecond(String change) throws Exception {
        Connection next = second.accept();
        assertThat(next.readRequest()).as(change).contains("r-1");
        next.answer("r-1");
        assertThat(running.answer().get()).as(change).isEqualTo("200 ok");
        assertThat(silent.isReset()).as(change).isTrue();
        assertThat(entry.onLoop(() -> entry.tokens.used))
                .as(change)
                .isEqualTo(TOKENS_OF_ONE_RUN + PlayedEntry.ANSWER_TOKENS);
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).as(change).isZero();
    }

    @Test
    public void aSilentRequestWhoseTokensAreRefusedGoesOn() throws Exception {
        awaitReservation();
        entry.onLoop(() -> {
            entry.tokens.outcome = TokenSource.Outcome.EXHAUSTED;
            entry.tokens.deliver();
            return true;
        });
        entry.awaitLogged("\"lacks\":\"tokens\"");
        assertAnsweredByFirst();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isZero();
    }

    @Test
    public void aReplicaThatLeavesTheServiceWhileTokensAreAwaitedReceivesNothing() throws Exception {
        awaitReservation();
        entry.put(second.row(ANOTHER_SERVICE, true));
        entry.onLoop(() -> {
            entry.tokens.deliver();
            return true;
        });
        assertThat(second.isConnectedTo()).isFalse();
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isEqualTo(TOKENS_OF_ONE_RUN);
        assertAnsweredByFirst();
    }
}
