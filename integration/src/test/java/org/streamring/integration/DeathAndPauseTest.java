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

    private long openEntries() {
        return fleet.platform.table().scan(RowKeys.ENTRIES, "", 100).size();
    }

    @Test
    public void theLeasesOfAKilledEntryAreSettledByAnother() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(2);
        fleet.chat("entry-1", Fleet.HOSPITAL, 10, false, "");
        CompletableFuture<HttpResponse<String>> open = fleet.chatAsync("entry-1", Fleet.HOSPITAL, 400, true, "");
        eventually("streaming").until(() -> fleet.leased(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.entries.get("entry-1").kill();
        assertThat(open).failsWithin(java.time.Duration.ofSeconds(30));
        eventually("closed").until(() -> openEntries() == 1);
        fleet.entries.remove("entry-1");
        fleet.stopEntries();
        assertBilledIsWhatRan();
    }

    @Test
    public void aPausedEntryThatWakesUpSpendsNothingOfItsClosedLeases() throws Exception {
        fleet = Fleet.small().start(2);
        fleet.chat("entry-1", Fleet.HOSPITAL, 10, false, "");
        fleet.entries.get("entry-1").pause();
        CompletableFuture<HttpResponse<String>> whilePaused = fleet.chatAsync("entry-1", Fleet.HOSPITAL, 10, false, "");
        eventually("closed").until(() -> openEntries() == 1);
        fleet.entries.get("entry-1").resume();
        assertThat(Fleet.outcome(whilePaused.get())).isIn("answered", "not-run");
        eventually("serves under a new incarnation")
                .until(() ->
                        fleet.chat("entry-1", Fleet.HOSPITAL, 10, false, "").statusCode() == 200);
        fleet.stopEntries();
        assertBilledIsWhatRan();
    }

    @Test
    public void whatRanOnAKilledSidecarIsHeldAndToldAsUnknown() throws Exception {
        fleet = new Fleet(1, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> open = fleet.chatAsync("entry-1", Fleet.HOSPITAL, 400, true, "");
        eventually("streaming").until(() -> fleet.leased(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.sidecars.get("assist-1").kill();
        HttpResponse<String> response = open.get();
        assertThat(response.body()).contains("\"outcome\":\"unknown\"").doesNotContain("[DONE]");
        fleet.stopEntries();
        long held = fleet.amount(RowKeys.held(Fleet.BUDGET));
        long settled = fleet.settledAll();
        long ran =
                fleet.ranTokens().values().stream().mapToLong(Long::longValue).sum();
        assertThat(held).isPositive();
        assertThat(settled + held).as("what ran is covered").isGreaterThanOrEqualTo(ran);
        assertThat(settled).as("nothing is billed twice").isLessThanOrEqualTo(ran);
    }

    @Test
    public void aCutBetweenEntryAndSidecarIsClearedUpAfterwards() throws Exception {
        fleet = new Fleet(1, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> open = fleet.chatAsync("entry-1", Fleet.HOSPITAL, 400, true, "");
        eventually("streaming").until(() -> fleet.leased(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.CUT);
        assertThat(open.get().body()).contains("\"outcome\":\"unknown\"");
        Thread.sleep(500);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.PASS);
        eventually("connected again")
                .until(() -> fleet.chat("entry-1", Fleet.HOSPITAL, 5, false, "").statusCode() == 200);
        Thread.sleep(1_000);
        fleet.stopEntries();
        assertBilledIsWhatRan();
    }

    @Test
    public void entryAndSidecarDeadTogetherLeaveTheirRestHeld() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(2);
        CompletableFuture<HttpResponse<String>> open = fleet.chatAsync("entry-1", Fleet.HOSPITAL, 400, true, "");
        eventually("streaming").until(() -> fleet.leased(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        fleet.entries.get("entry-1").kill();
        fleet.sidecars.get("assist-1").kill();
        fleet.sidecars.get("assist-2").kill();
        assertThat(open).failsWithin(java.time.Duration.ofSeconds(30));
        eventually("closed").until(() -> openEntries() == 1);
        fleet.entries.remove("entry-1");
        fleet.stopEntries();
        long ran =
                fleet.ranTokens().values().stream().mapToLong(Long::longValue).sum();
        assertThat(fleet.leased(Fleet.BUDGET)).isZero();
        assertThat(fleet.settledAll() + fleet.amount(RowKeys.held(Fleet.BUDGET)))
                .isGreaterThanOrEqualTo(ran);
    }
}
