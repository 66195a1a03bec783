package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.streamring.fleet.Fleet;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.platform.PlatformFaults;
import org.streamring.standin.proxy.FaultProxy;
import org.testng.annotations.Test;

public class OnceOnlyTest extends FleetTestBase {
    private long runCount(String key) {
        return fleet.service.records().stream()
                .filter(record -> record.request().equals("hospital-plant/" + key))
                .count();
    }

    @Test
    public void concurrentRetriesThroughTwoEntriesRunOnce() throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 300).start(2);
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            responses.add(fleet.plainAsync("entry-" + (1 + i % 2), "POST", "/setpoints/7", "set-1"));
        }
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            assertThat(response.get().statusCode()).isEqualTo(200);
            assertThat(response.get().body()).contains("hospital-plant/set-1");
        }
        assertThat(runCount("set-1")).isEqualTo(1);
    }

    @Test
    public void lostStoreResponsesDoNotMakeARequestRunTwice() throws Exception {
        fleet = Fleet.small().start(2);
        fleet.platform.setFaults(new PlatformFaults(false, 0, 2, false, 200));
        for (int i = 0; i < 20; i++) {
            String key = "lost-" + i;
            for (int attempt = 0; attempt < 3; attempt++) {
                HttpResponse<String> response = fleet.plain("entry-" + (1 + attempt % 2), "POST", "/setpoints/7", key);
                if (Fleet.outcome(response).equals("answered")) {
                    break;
                }
            }
            assertThat(runCount(key)).as(key).isLessThanOrEqualTo(1);
        }
    }

    @Test
    public void requestsAreRefusedAtOnceAsNotRunDuringAStoreOutage() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        HttpResponse<String> response = fleet.plain("entry-1", "POST", "/setpoints/7", "away-1");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Fleet.outcome(response)).isEqualTo("not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(runCount("away-1")).isZero();
        fleet.platform.setFaults(PlatformFaults.NONE);
        eventually("served again")
                .until(() ->
                        fleet.plain("entry-1", "POST", "/setpoints/7", "away-1").statusCode() == 200);
        assertThat(runCount("away-1")).isEqualTo(1);
    }

    @Test
    public void aRequestWhoseSidecarDiedIsNeverRunElsewhere() throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 60_000).start(0);
        fleet.startEntry("entry-1");
        eventually("running").until(() -> {
            fleet.plainAsync("entry-1", "POST", "/setpoints/7", "dead-1");
            return runCount("dead-1") == 1;
        });
        fleet.sidecars.get("control-1").kill();
        HttpResponse<String> retryWithoutSidecar = fleet.plain("entry-1", "POST", "/setpoints/7", "dead-1");
        assertThat(Fleet.outcome(retryWithoutSidecar)).isEqualTo("unknown");
        fleet.restartSidecar("control-1");
        eventually("the restarted sidecar is connected")
                .until(() -> fleet.entries.get("entry-1").log().split("sidecar_connected peer=control-1").length > 2);
        HttpResponse<String> retry = fleet.plain("entry-1", "POST", "/setpoints/7", "dead-1");
        assertThat(Fleet.outcome(retry)).isEqualTo("unknown");
        assertThat(runCount("dead-1")).isEqualTo(1);
    }

    @Test
    public void aRetryAfterAConnectionLossGetsTheOriginalAnswer() throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 1_000).start(2);
        CompletableFuture<HttpResponse<String>> first = fleet.plainAsync("entry-1", "POST", "/setpoints/7", "cut-1");
        eventually("running").until(() -> runCount("cut-1") == 1);
        fleet.sidecarProxies.get("control-1").setMode(FaultProxy.Mode.CUT);
        assertThat(Fleet.outcome(first.get())).isEqualTo("unknown");
        fleet.sidecarProxies.get("control-1").setMode(FaultProxy.Mode.PASS);
        eventually("answered").until(() -> {
            HttpResponse<String> retry = fleet.plain("entry-2", "POST", "/setpoints/7", "cut-1");
            return Fleet.outcome(retry).equals("answered");
        });
        assertThat(runCount("cut-1")).isEqualTo(1);
    }

    @Test
    public void anIdempotencyKeyReusedWithAnotherBodyIsRefused() throws Exception {
        fleet = Fleet.small().start(2);
        assertThat(fleet.plain("entry-1", "POST", "/setpoints/7", "same-1").statusCode())
                .isEqualTo(200);
        HttpResponse<String> other =
                fleet.send(fleet.request("entry-2", "/services/control-api/setpoints/7", Fleet.HOSPITAL_KEY)
                        .header("Idempotency-Key", "same-1")
                        .POST(HttpRequest.BodyPublishers.ofString("{\"other\":1}"))
                        .build());
        assertThat(other.statusCode()).isEqualTo(409);
    }

    @Test
    public void aRepeatedModelRequestGetsTheSameAnswerAndOneBill() throws Exception {
        fleet = Fleet.small().start(2);
        HttpResponse<String> first = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 9, false, "answer-1");
        HttpResponse<String> second = fleet.chat("entry-2", Fleet.HOSPITAL_KEY, 9, false, "answer-1");
        assertThat(second.body()).isEqualTo(first.body());
        fleet.stopEntries();
        assertThat(fleet.bills().stream().filter(item -> item.request().endsWith("/answer-1")))
                .hasSize(1);
        assertBillsMatchEngineRecords();
    }
}
