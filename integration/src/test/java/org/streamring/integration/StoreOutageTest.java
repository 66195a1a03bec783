package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.table.RowKeys;
import org.streamring.standin.platform.PlatformFaults;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StoreOutageTest extends FleetTestBase {
    private static final long TABLE_DELAY_MILLIS = 200;
    /** Longer than the entry waits for an answer of the table. */
    private static final long PAUSE_MILLIS = 700;

    @Test
    public void leasedTokensAreServedDuringAStoreOutage() throws Exception {
        fleet = Fleet.small().start(1);
        for (int i = 0; i < 40; i++) {
            fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 20, false, "");
        }
        fleet.platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        int answered = 0;
        for (int i = 0; i < 20; i++) {
            HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 20, false, "");
            answered += Fleet.outcome(response).equals("answered") ? 1 : 0;
        }
        assertThat(answered).isEqualTo(20);
        fleet.platform.setFaults(PlatformFaults.NONE);
        eventually("requests are served again")
                .until(() ->
                        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 2, false, "").statusCode() == 200);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aBudgetWithoutLeaseIsRefusedAtOnceDuringAStoreOutage() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        eventually("the outage is detected")
                .until(() -> fleet.entries.get("entry-1").log().contains("table_away"));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.CREWS_KEY, 20, false, "");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Fleet.outcome(response)).isEqualTo("not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    /** Guards against taking the answers that arrived during a pause of the entry for a silence of the store. */
    @Test
    public void aRequestThatWaitsForALeaseIsServedAfterAPauseOfTheEntry() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.platform.setFaults(new PlatformFaults(false, TABLE_DELAY_MILLIS, 0, false, 0));
        int before = fleet.platform.transactionsReceived();
        CompletableFuture<HttpResponse<String>> answer = fleet.chatAsync("entry-1", Fleet.CREWS_KEY, 20, false, "");
        eventually("a transaction is on the way")
                .pollDelay(Duration.ZERO)
                .pollInterval(Duration.ofMillis(5))
                .until(() -> fleet.platform.transactionsReceived() > before);
        fleet.entries.get("entry-1").pause();
        Thread.sleep(PAUSE_MILLIS);
        fleet.entries.get("entry-1").resume();
        assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        assertThat(fleet.entries.get("entry-1").log()).doesNotContain("table_away");
    }

    @Test
    public void aStopGivesBackALeaseWhoseAnswerWasLost() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.platform.setFaults(new PlatformFaults(false, 0, 1, false, 0));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.CREWS_KEY, 20, false, "");
        assertThat(Fleet.outcome(response)).isEqualTo("not-run");
        eventually("the lease is recorded in the table").until(() -> fleet.leasedTokens("installers") > 0);
        fleet.entries.get("entry-1").requestStop();
        eventually("the stop has begun")
                .until(() -> fleet.entries.get("entry-1").log().contains("entry_stopping"));
        fleet.platform.setFaults(PlatformFaults.NONE);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void anEntryStopsPromptlyDuringAStoreOutage() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 20, false, "");
        fleet.platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        fleet.entries.get("entry-1").requestStop();
        eventually("the entry has exited")
                .atMost(Duration.ofSeconds(25))
                .until(() -> !fleet.entries.get("entry-1").isAlive());
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"lost responses", new PlatformFaults(false, 0, 3, false, 0)},
            {"lost responses, late writes", new PlatformFaults(false, 0, 3, false, 700)},
            {"slow responses", new PlatformFaults(false, 300, 0, false, 0)},
            {"object store unavailable", new PlatformFaults(false, 0, 0, true, 0)},
        };
    }

    @Test(dataProvider = "faults")
    public void billsMatchEngineRecordsDespiteStoreFaults(String name, PlatformFaults faults) throws Exception {
        fleet = Fleet.small().withLedgerProfile("prompt").start(2);
        fleet.platform.setFaults(faults);
        for (int i = 0; i < 60; i++) {
            fleet.chat("entry-" + (1 + i % 2), i % 3 == 0 ? Fleet.CREWS_KEY : Fleet.HOSPITAL_KEY, 15, i % 2 == 0, "");
        }
        fleet.platform.setFaults(PlatformFaults.NONE);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
        assertThat(fleet.rowAmount(RowKeys.settled(Fleet.BUDGET))).as(name).isPositive();
    }
}
