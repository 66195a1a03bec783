package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.streamring.direct.request.PlayedReplica.Connection;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.RouteKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that go on crashing replicas because these have restarted before their end is checked, and
 * against restarts that are counted against requests which broke off for another reason.
 */
public class RestartedServerCrashTest {
    /** More than it takes to find that a process has been replaced. */
    private static final long REPLACEMENT_FOUND_MILLIS = 400;

    private PlayedEntry entry;
    private PlayedReplica replica;

    @BeforeMethod
    public void setUp() throws Exception {
        entry = new PlayedEntry(RouteKind.REPEATABLE, 2);
        entry.parts.secret = Optional.of(new byte[] {1});
        replica = entry.addReplica("i-1");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        entry.close();
    }

    private Connection send(String id) throws Exception {
        entry.beginWithOneAttempt(id);
        Connection connection = replica.accept();
        assertThat(connection.readRequest()).contains(id);
        return connection;
    }

    /** Breaks an attempt off, and waits until the process is checked, whose port still accepts connections. */
    private void breakOff(Connection connection) throws Exception {
        connection.socket().close();
        entry.awaitLogged("\"server_end_checked\"");
        assertThat(entry.parts.logged()).contains("\"ended\":false");
    }

    private void listSuccessor(int port) throws Exception {
        BackendInstance row = replica.row(PlayedEntry.SERVICE, true);
        entry.put(new BackendInstance(
                row.id(), row.service(), row.host(), port, row.failureDomain(), row.slots(), true, 0, 1, "v1"));
    }

    private int port() {
        return replica.row(PlayedEntry.SERVICE, true).port();
    }

    /** Returns the number of attempts that were counted as crashing their replica, by replica. */
    private Map<String, Integer> crashes() throws Exception {
        return entry.onLoop(() -> entry.parts.suspects.report().crashes().entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, crash -> crash.getValue().size())));
    }

    private void awaitCrash() {
        String incarnation = replica.row(PlayedEntry.SERVICE, true).incarnation();
        Awaitility.await().until(this::crashes, Map.of(incarnation, 1)::equals);
    }

    private void assertNoCrashCounted() throws Exception {
        Thread.sleep(REPLACEMENT_FOUND_MILLIS);
        assertThat(crashes()).isEmpty();
    }

    @Test
    public void theCrashOfAReplicaThatRestartsBeforeItIsCheckedCountsOnceItsSuccessorIsListed() throws Exception {
        breakOff(send("r-1"));
        assertNoCrashCounted();
        listSuccessor(port());
        awaitCrash();
    }

    @Test
    public void theCrashCountsIfTheSuccessorIsListedBeforeTheCheck() throws Exception {
        Connection connection = send("r-1");
        listSuccessor(port());
        breakOff(connection);
        awaitCrash();
    }

    @Test
    public void aReplicaThatEndsAfterItWasCheckedHasNotCrashedUnderTheRequest() throws Exception {
        breakOff(send("r-1"));
        replica.accept().socket().close();
        listSuccessor(port());
        assertNoCrashCounted();
    }

    @Test
    public void aReplicaThatKeepsAnotherConnectionOpenHasNotCrashed() throws Exception {
        Connection first = send("r-1");
        send("r-2");
        breakOff(first);
        listSuccessor(port());
        assertNoCrashCounted();
    }

    @Test
    public void aProcessThatIsListedAtAnotherAddressTellsNothingAboutTheOneBefore() throws Exception {
        breakOff(send("r-1"));
        listSuccessor(entry.addReplica("i-2").row(PlayedEntry.SERVICE, true).port());
        assertNoCrashCounted();
    }

    @Test
    public void aRequestThatBrokeOffBeforeAnotherDoesNotCountIfItsProcessWentOn() throws Exception {
        breakOff(send("r-1"));
        Connection witness = replica.accept();
        Connection second = send("r-2");
        witness.socket().close();
        second.socket().close();
        Awaitility.await().until(() -> entry.parts.logged().split("\"server_end_checked\"", -1).length > 2);
        listSuccessor(port());
        awaitCrash();
    }
}
