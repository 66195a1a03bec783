package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.direct.request.PlayedEntry.Running;
import org.streamring.direct.request.PlayedReplica.Connection;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.RouteKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that are refused without having waited for a slot, because opening the connection of an
 * attempt that was not sent took as long as a request may wait.
 */
public class UnsentRequestsTest {
    /** A fifth of the target of the route, for which a request may wait for a slot. */
    private static final long MAX_WAIT_MILLIS = 20;
    /** Longer than a request may wait, and too short for a permit. */
    private static final long CONNECTING_MILLIS = 200;

    private PlayedEntry entry;
    private Connection occupied;

    @BeforeMethod
    public void setUp() throws Exception {
        entry = new PlayedEntry(RouteKind.REPEATABLE, 2);
        PlayedReplica busy = entry.addReplica("i-busy");
        entry.put(withOneSlot(busy.row(PlayedEntry.SERVICE, true)));
        entry.begin("r-0");
        occupied = busy.accept();
        assertThat(occupied.readRequest()).contains("r-0");
        entry.addReplica("i-limited");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        entry.close();
    }

    private static BackendInstance withOneSlot(BackendInstance row) {
        return new BackendInstance(
                row.id(),
                row.service(),
                row.host(),
                row.port(),
                row.failureDomain(),
                1,
                row.ready(),
                row.coldMillis(),
                row.startedMillis(),
                row.softwareVersion());
    }

    /** Begins a request that is not sent, as its replica announces a limit while the connection is opened. */
    private Running beginWithdrawn() throws Exception {
        Running running = entry.beginAndBeforeConnected("r-1", () -> {
            entry.announceLimitOnLoop("i-limited@0");
            entry.advanceOnLoop(CONNECTING_MILLIS);
        });
        entry.awaitLogged("WITHDRAWN");
        return running;
    }

    @Test
    public void aRequestThatWasNotSentWaitsForASlotAtAnotherReplica() throws Exception {
        Running running = beginWithdrawn();
        assertThat(running.answer().isWritten()).as("refused at once").isFalse();
        occupied.answer("r-0");
        assertThat(occupied.readRequest()).contains("r-1");
        occupied.answer("r-1");
        assertThat(running.answer().get()).isEqualTo("200 ok");
    }

    @Test
    public void aRequestThatWasNotSentWaitsNoLongerThanOthers() throws Exception {
        Running running = beginWithdrawn();
        entry.advance(MAX_WAIT_MILLIS);
        assertThat(running.answer().get()).startsWith("503");
    }
}
