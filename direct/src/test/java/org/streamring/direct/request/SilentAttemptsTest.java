package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.streamring.direct.request.PlayedEntry.Running;
import org.streamring.direct.request.PlayedReplica.Connection;
import org.streamring.kernel.limit.FleetRetryBudget;
import org.streamring.model.route.RouteKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that end although their silent replica goes on, or could be asked again. */
public class SilentAttemptsTest {
    private static final long MIN_EJECTION_MILLIS = 800;
    /** Time after which a replica is tried although none is heard. */
    private static final long SILENT_FOR_GOOD_MILLIS = 1_500;
    /** More than the time between two tries of a request that has lost its run. */
    private static final long LATER_MILLIS = 500;

    private PlayedEntry entry;
    private PlayedReplica first;
    private Running running;

    /** Begins a request at the first replica, the only one, and returns the connection on which it arrived. */
    private Connection beginAtFirst(RouteKind kind, int maxAttempts) throws Exception {
        entry = new PlayedEntry(kind, maxAttempts);
        first = entry.addReplica("i-1");
        running = entry.begin("r-1");
        return acceptRequest(first);
    }

    private void assertAnswered() throws Exception {
        assertThat(running.answer().get()).isEqualTo("200 ok");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        entry.close();
    }

    private Connection acceptRequest(PlayedReplica replica) throws Exception {
        Connection connection = replica.accept();
        assertThat(connection.readRequest()).contains("r-1");
        return connection;
    }

    @Test
    public void aRequestWhoseSecondReplicaRefusesItReturnsToTheFirst() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 2);
        PlayedReplica second = entry.addReplica("i-2");
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        acceptRequest(second).refuse("r-1");
        entry.awaitLogged("replica_refused_503");
        entry.advance(MIN_EJECTION_MILLIS);
        acceptRequest(first).answer("r-1");
        assertAnswered();
    }

    @Test
    public void aRequestWhoseSecondReplicaRefusesItWaitsForARetry() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 2);
        PlayedReplica second = entry.addReplica("i-2");
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        Connection refusing = acceptRequest(second);
        List<FleetRetryBudget.Grant> taken = entry.takeAllRetries();
        refusing.refuse("r-1");
        entry.awaitLogged("retry_refused");
        entry.advance(MIN_EJECTION_MILLIS);
        entry.onLoop(() -> {
            taken.forEach(FleetRetryBudget.Grant::giveBack);
            return true;
        });
        acceptRequest(first).answer("r-1");
        assertAnswered();
    }

    @Test
    public void aRequestWhoseSecondReplicaBreaksOffReturnsToTheFirst() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 3);
        PlayedReplica second = entry.addReplica("i-2");
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        Connection breaking = acceptRequest(second);
        breaking.writeHead("r-1");
        breaking.socket().close();
        entry.awaitLogged("no_whole_answer");
        entry.advance(MIN_EJECTION_MILLIS);
        acceptRequest(first).answer("r-1");
        assertAnswered();
    }

    @Test
    public void aReplicaThatWasNotHeardForHalfASecondIsTriedOnceTheSilenceMayBeForGood() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 2);
        entry.advance(600);
        PlayedReplica second = entry.addReplica("i-2");
        entry.put(first.row(PlayedEntry.SERVICE, false));
        entry.begin("r-2");
        second.accept().readRequest();
        entry.advance(550);
        entry.awaitLogged("\"lacks\":\"replica\"");
        entry.advance(SILENT_FOR_GOOD_MILLIS - 600 - 550);
        acceptRequest(second).answer("r-1");
        assertAnswered();
    }

    @Test
    public void theSilentReplicaIsTriedOverAnotherConnectionOnceTheSilenceMayBeForGood() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 2);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("\"lacks\":\"replica\"");
        entry.advance(MIN_EJECTION_MILLIS);
        acceptRequest(first).answer("r-1");
        assertAnswered();
    }

    @Test
    public void anAcceptedConnectionIsNoSignOfLifeOfASilentAttempt() throws Exception {
        Connection silent = beginAtFirst(RouteKind.REPEATABLE, 1);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("silent_attempt_kept");
        entry.advance(MIN_EJECTION_MILLIS);
        entry.begin("r-2");
        first.accept();
        Thread.sleep(LATER_MILLIS);
        assertThat(entry.parts.logged()).doesNotContain("heard_again");
        silent.answer("r-1");
        assertAnswered();
    }

    @Test
    public void aReplicaIsUsedAgainAsSoonAsItAnswersASilentAttempt() throws Exception {
        Connection silent = beginAtFirst(RouteKind.REPEATABLE, 1);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("silent_attempt_kept");
        silent.writeHead("r-1");
        entry.awaitLogged("heard_again");
        Running next = entry.begin("r-2");
        first.accept().answer("r-2");
        assertThat(next.answer().get()).isEqualTo("200 ok");
    }

    @DataProvider
    public static Object[][] routesWithoutASecondAttempt() {
        return new Object[][] {{RouteKind.NOT_REPEATABLE, 2}, {RouteKind.REPEATABLE, 1}};
    }

    @Test(dataProvider = "routesWithoutASecondAttempt")
    public void aSilentRequestThatMayNotBeSentAgainIsAnsweredByItsReplica(RouteKind kind, int attempts)
            throws Exception {
        Connection silent = beginAtFirst(kind, attempts);
        PlayedReplica second = entry.addReplica("i-2");
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        assertThat(second.isConnectedTo()).isFalse();
        entry.advance(SILENT_FOR_GOOD_MILLIS);
        assertThat(second.isConnectedTo()).isFalse();
        silent.answer("r-1");
        assertAnswered();
    }

    @DataProvider
    public static Object[] attemptsAllowed() {
        return new Object[] {2, 3};
    }

    @Test(dataProvider = "attemptsAllowed")
    public void aRequestRunsAtMostAsOftenAsItsRouteAllowsThoughEachReplicaFallsSilent(int maxAttempts)
            throws Exception {
        Connection last = beginAtFirst(RouteKind.REPEATABLE, maxAttempts);
        for (int attempt = 2; attempt <= maxAttempts; attempt++) {
            PlayedReplica next = entry.addReplica("i-" + attempt);
            entry.advance(PlayedEntry.SILENCE_MILLIS);
            last = acceptRequest(next);
        }
        PlayedReplica oneMore = entry.addReplica("i-9");
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("\"lacks\":\"attempts\"");
        entry.advance(SILENT_FOR_GOOD_MILLIS);
        assertThat(oneMore.isConnectedTo()).isFalse();
        last.answer("r-1");
        assertAnswered();
        assertThat(entry.onLoop(() -> entry.tokens.used))
                .isEqualTo(PlayedEntry.PROMPT_TOKENS + maxAttempts * PlayedEntry.ANSWER_TOKENS);
    }

    @Test
    public void aSilentRequestWhoseCallerLeavesIsResetAtOnce() throws Exception {
        Connection silent = beginAtFirst(RouteKind.REPEATABLE, 1);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("silent_attempt_kept");
        entry.onLoop(() -> {
            running.request().callerGone();
            return true;
        });
        assertThat(silent.isReset()).isTrue();
        assertThat(entry.onLoop(() -> entry.tokens.used))
                .isEqualTo(PlayedEntry.PROMPT_TOKENS + PlayedEntry.ANSWER_TOKENS);
    }

    @Test
    public void aRequestWhoseConnectionIsNotOpenedIsSentToAnotherReplica() throws Exception {
        entry = new PlayedEntry(RouteKind.REPEATABLE, 1);
        try (UnansweredPort unanswered = new UnansweredPort()) {
            entry.put(unanswered.row("i-0"));
            running = entry.begin("r-1");
            first = entry.addReplica("i-1");
            acceptRequest(first).answer("r-1");
            assertAnswered();
        }
    }

    @Test
    public void aSilentAttemptGoesOnThoughNoConnectionToAnotherReplicaIsOpened() throws Exception {
        Connection silent = beginAtFirst(RouteKind.REPEATABLE, 2);
        try (UnansweredPort unanswered = new UnansweredPort()) {
            entry.put(unanswered.row("i-0"));
            entry.advance(PlayedEntry.SILENCE_MILLIS);
            entry.awaitLogged("\"lacks\":\"connection\"");
            silent.answer("r-1");
            assertAnswered();
        }
        assertThat(entry.onLoop(() -> entry.tokens.reserved)).isZero();
        assertThat(Stream.of("retry_sent", "silent_attempt_replaced")).noneMatch(entry.parts.logged()::contains);
    }

    @Test
    public void aSilentAttemptGoesOnIfItsReplicaIsHeardOnAnotherConnectionBeforeTheRequestIsSentAgain()
            throws Exception {
        Connection silent = beginAtFirst(RouteKind.REPEATABLE, 2);
        entry.beginWithOneAttempt("r-2");
        Connection other = first.accept();
        other.readRequest();
        PlayedReplica second = entry.addReplica("i-2");
        entry.onLoop(() -> entry.tokens.hold = true);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        Awaitility.await().until(() -> entry.onLoop(entry.tokens::heldBack) == 1);
        entry.onLoop(() -> {
            entry.tokens.deliver();
            other.writeHead("r-2");
            return true;
        });
        assertThat(second.accept().readRequest()).isEmpty();
        silent.answer("r-1");
        assertAnswered();
    }

    @Test
    public void noPermitIsAskedForARequestThatMayNotBeSentAgain() throws Exception {
        beginAtFirst(RouteKind.REPEATABLE, 2);
        String limited = entry.addReplica("i-2").row(PlayedEntry.SERVICE, true).incarnation();
        entry.announceLimit(limited);
        entry.takeAllRetries();
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("\"lacks\":\"retry\"");
        assertThat(entry.holdsPermit(limited)).isFalse();
    }
}
