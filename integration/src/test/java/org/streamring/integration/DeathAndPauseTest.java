package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.table.RowKeys;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.proxy.FaultProxy;
import org.testng.annotations.Test;

public class DeathAndPauseTest extends FleetTestBase {
    private static final EngineSettings SLOW = new EngineSettings(20, 32, 2048, 256);

    private long registeredEntries() {
        return fleet.platform.table().scan(RowKeys.ENTRIES, "", 100).size();
    }

    @Test
    public void theLeasesOfAKilledEntryAreSettledByAnotherEntry() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(2);
        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 10, false, "");
        CompletableFuture<HttpResponse<String>> stream = fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 400, true, "");
        eventually("streaming").until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.entries.get("entry-1").kill();
        assertThat(stream).failsWithin(java.time.Duration.ofSeconds(30));
        eventually("entry-1 is closed").until(() -> registeredEntries() == 1);
        fleet.entries.remove("entry-1");
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aResumedEntryDoesNotSpendFromItsClosedLeases() throws Exception {
        fleet = Fleet.small().start(2);
        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 10, false, "");
        fleet.entries.get("entry-1").pause();
        CompletableFuture<HttpResponse<String>> responseDuringPause =
                fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 10, false, "");
        eventually("entry-1 is closed").until(() -> registeredEntries() == 1);
        fleet.entries.get("entry-1").resume();
        assertThat(Fleet.outcome(responseDuringPause.get())).isIn("answered", "not-run");
        eventually("entry-1 serves under a new incarnation")
                .until(() ->
                        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 10, false, "").statusCode() == 200);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void attemptsOnAKilledSidecarAreHeldAndReportedAsUnknown() throws Exception {
        fleet = new Fleet(1, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> stream = fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 400, true, "");
        eventually("streaming").until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.sidecars.get("assist-1").kill();
        HttpResponse<String> response = stream.get();
        assertThat(response.body()).contains("\"outcome\":\"unknown\"").doesNotContain("[DONE]");
        fleet.stopEntries();
        long held = fleet.rowAmount(RowKeys.held(Fleet.BUDGET));
        long settled = fleet.settledTokens();
        long ran = fleet.engineTokens().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        assertThat(held).isPositive();
        assertThat(settled + held)
                .as("settled and held tokens cover the executed ones")
                .isGreaterThanOrEqualTo(ran);
        assertThat(settled).as("no tokens are billed twice").isLessThanOrEqualTo(ran);
    }

    @Test
    public void aLostConnectionBetweenEntryAndSidecarIsReconciledAfterwards() throws Exception {
        fleet = new Fleet(1, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> stream = fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 400, true, "");
        eventually("streaming").until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.CUT);
        assertThat(stream.get().body()).contains("\"outcome\":\"unknown\"");
        Thread.sleep(500);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.PASS);
        eventually("entry and sidecar are reconnected")
                .until(() ->
                        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, false, "").statusCode() == 200);
        Thread.sleep(1_000);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void theRemainderStaysHeldIfEntryAndSidecarsDieTogether() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(2);
        CompletableFuture<HttpResponse<String>> stream = fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 400, true, "");
        eventually("streaming").until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.entries.get("entry-1").kill();
        fleet.sidecars.get("assist-1").kill();
        fleet.sidecars.get("assist-2").kill();
        assertThat(stream).failsWithin(java.time.Duration.ofSeconds(30));
        eventually("entry-1 is closed").until(() -> registeredEntries() == 1);
        fleet.entries.remove("entry-1");
        fleet.stopEntries();
        long ran = fleet.engineTokens().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        assertThat(fleet.leasedTokens(Fleet.BUDGET)).isZero();
        assertThat(fleet.settledTokens() + fleet.rowAmount(RowKeys.held(Fleet.BUDGET)))
                .isGreaterThanOrEqualTo(ran);
    }
}
