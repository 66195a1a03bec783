package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.streamring.direct.request.PlayedEntry.Running;
import org.streamring.direct.request.PlayedReplica.Connection;
import org.streamring.model.route.RouteKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that go on crashing replicas because these crash only after the silent attempt was replaced,
 * and against such crashes that are counted against sound requests.
 */
public class ReplacedAttemptCrashTest {
    /** A little more than the time for which a crash is counted against a replaced attempt. */
    private static final long NO_LONGER_WATCHED_MILLIS = 5_050;
    /** More than it takes to find that a process has exited. */
    private static final long EXIT_FOUND_MILLIS = 400;

    private PlayedEntry entry;
    private PlayedReplica first;
    private PlayedReplica second;
    private Running running;
    private Connection next;

    @BeforeMethod
    public void setUp() {
        entry = new PlayedEntry(RouteKind.REPEATABLE, 2);
        entry.parts.secret = Optional.of(new byte[] {1});
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        entry.close();
    }

    /** Sends a request to a replica, and to another one when the first has fallen silent. */
    private void replaceSilentAttempt(String firstId, String secondId) throws Exception {
        first = entry.addReplica(firstId);
        running = entry.begin("r-1");
        assertThat(first.accept().readRequest()).contains("r-1");
        second = entry.addReplica(secondId);
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        next = second.accept();
        assertThat(next.readRequest()).contains("r-1");
    }

    private void callerLeaves() throws Exception {
        entry.onLoop(() -> {
            running.request().callerGone();
            return true;
        });
    }

    /** Returns the number of attempts that were counted as crashing their replica, by replica. */
    private Map<String, Integer> crashes() throws Exception {
        return entry.onLoop(() -> entry.parts.suspects.report().crashes().entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, crash -> crash.getValue().size())));
    }

    private void awaitCrashes(Map<String, Integer> expected) {
        Awaitility.await().until(this::crashes, expected::equals);
    }

    private static String incarnation(PlayedReplica replica) {
        return replica.row(PlayedEntry.SERVICE, true).incarnation();
    }

    private void assertNoCrashCounted() throws Exception {
        Thread.sleep(EXIT_FOUND_MILLIS);
        assertThat(crashes()).isEmpty();
        assertThat(entry.onLoop(entry.parts.suspects::suspects)).isZero();
    }

    @Test
    public void theCrashOfAReplicaWhoseSilentAttemptWasReplacedCountsAgainstTheRequest() throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        first.close();
        awaitCrashes(Map.of(incarnation(first), 1));
    }

    @DataProvider
    public Object[][] endsOfTheRequest() {
        Callable<?> brokenOff = () -> {
            next.socket().close();
            return running.answer().get();
        };
        Callable<?> callerLeaves = () -> {
            callerLeaves();
            return true;
        };
        return new Object[][] {{"caller left", callerLeaves}, {"second attempt broke off", brokenOff}};
    }

    @Test(dataProvider = "endsOfTheRequest")
    public void theCrashCountsThoughTheRequestHasEndedBefore(String how, Callable<?> end) throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        end.call();
        first.close();
        awaitCrashes(Map.of(incarnation(first), 1));
    }

    /** Lets the request crash replicas one after the other, each after its silent attempt was replaced. */
    private void crashReplicas(int count) throws Exception {
        for (int crash = 1; crash <= count; crash++) {
            replaceSilentAttempt("crashing-" + crash, "other-" + crash);
            callerLeaves();
            first.close();
            int expected = crash;
            Awaitility.await().until(() -> crashes().size() == expected);
            entry.put(first.row(PlayedEntry.SERVICE, false));
            entry.put(second.row(PlayedEntry.SERVICE, false));
        }
        first = entry.addReplica("sound");
    }

    @Test
    public void aRequestIsRefusedAfterThreeSuchCrashes() throws Exception {
        crashReplicas(3);
        assertThat(entry.begin("r-1").answer().get()).startsWith("503").contains("request_crashes_servers");
    }

    @Test
    public void aRequestIsSentAfterTwoSuchCrashes() throws Exception {
        crashReplicas(2);
        running = entry.begin("r-1");
        Connection connection = first.accept();
        connection.readRequest();
        connection.answer("r-1");
        assertThat(running.answer().get()).isEqualTo("200 ok");
    }

    @Test
    public void aReplicaThatGoesOnAndClosesConnectionsHasNotCrashed() throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        first.accept().socket().close();
        assertNoCrashCounted();
        first.close();
        awaitCrashes(Map.of(incarnation(first), 1));
    }

    @Test
    public void theCrashOfAReplicaWhoseSilentAttemptWasCancelledByItsCallerIsNotCounted() throws Exception {
        first = entry.addReplica("i-1");
        running = entry.beginWithOneAttempt("r-1");
        Connection silent = first.accept();
        silent.readRequest();
        entry.advance(PlayedEntry.SILENCE_MILLIS);
        entry.awaitLogged("silent_attempt_kept");
        callerLeaves();
        assertThat(silent.isReset()).isTrue();
        first.close();
        assertNoCrashCounted();
    }

    @Test
    public void aRequestThatWasAnsweredElsewhereIsNotCountedAsCrashingItsSilentReplica() throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        next.answer("r-1");
        assertThat(running.answer().get()).isEqualTo("200 ok");
        first.close();
        assertNoCrashCounted();
    }

    @Test
    public void aSilentReplicaThatWasShuttingDownHasNotCrashed() throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        entry.put(first.row(PlayedEntry.SERVICE, false));
        first.close();
        assertNoCrashCounted();
    }

    @Test
    public void aCrashLongAfterTheSilentAttemptIsNotCounted() throws Exception {
        replaceSilentAttempt("i-1", "i-2");
        callerLeaves();
        entry.advance(NO_LONGER_WATCHED_MILLIS);
        first.close();
        assertNoCrashCounted();
    }
}
