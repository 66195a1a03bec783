package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.table.RowKeys;
import org.streamring.standin.engine.EngineFaults;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.engine.RunRecord;
import org.testng.annotations.Test;

public class TruthToCallersTest extends FleetTestBase {
    @Test
    public void aBrokenStreamNeverAppearsComplete() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.dying(5)));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 50, true, "");
        assertThat(response.body()).contains("\"error\"").contains("\"outcome\":\"unknown\"");
        assertThat(response.body()).doesNotContain("[DONE]");
    }

    @Test
    public void aBrokenUnstreamedAnswerIsReportedAsUnknown() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.dying(5)));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 50, false, "");
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(Fleet.outcome(response)).isEqualTo("unknown");
    }

    @Test
    public void anEngineThatIgnoresItsLimitIsCancelledAndTheChargeStaysWithinTheReservation() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.endless()));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 30, true, "");
        assertThat(response.statusCode()).isEqualTo(200);
        fleet.stopEntries();
        int reserved = Fleet.chatBody(30, true).length() + 30;
        assertThat(fleet.bills()).allMatch(item -> item.tokens() <= reserved);
    }

    @Test
    public void aCallerThatDisconnectsIsBilledForTheGeneratedTokens() throws Exception {
        fleet = new Fleet(1, new EngineSettings(10, 32, 2048, 256), 5).start(1);
        HttpResponse<InputStream> response = fleet.http()
                .send(
                        fleet.request("entry-1", "/v1/chat/completions", Fleet.HOSPITAL_KEY)
                                .POST(java.net.http.HttpRequest.BodyPublishers.ofString(Fleet.chatBody(500, true)))
                                .build(),
                        HttpResponse.BodyHandlers.ofInputStream());
        response.body().readNBytes(2_000);
        response.body().close();
        eventually("the run is cancelled").until(() -> fleet.engineRecords().stream()
                .anyMatch(record -> !record.complete() && record.answerTokens() > 1));
        fleet.stopEntries();
        RunRecord cancelled = fleet.engineRecords().stream()
                .filter(record -> !record.complete())
                .findFirst()
                .orElseThrow();
        assertThat(cancelled.answerTokens()).isLessThan(500);
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aRetryWithoutServerIsNotReportedAsNotRunIfTheFirstAttemptMayHaveRun() throws Exception {
        fleet = new Fleet(1, new EngineSettings(50, 32, 2048, 256), 5).start(1);
        CompletableFuture<HttpResponse<String>> response =
                fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, 100, false, "");
        eventually("the sidecar runs the request").until(() -> runningAttempts("assist-1") == 1);
        fleet.sidecars.get("assist-1").kill();
        eventually("the engine has recorded an incomplete run")
                .until(() -> fleet.engineRecords().stream().anyMatch(record -> !record.complete()));
        assertThat(Fleet.outcome(response.join())).isEqualTo("unknown");
        fleet.stopEntries();
        assertThat(fleet.rowAmount(RowKeys.held(Fleet.BUDGET)))
                .as("tokens that may have been spent stay held")
                .isPositive();
    }

    private long runningAttempts(String sidecar) {
        String metrics = fleet.metrics(fleet.sidecars.get(sidecar).adminPort());
        return metrics.lines()
                .filter(line -> line.startsWith("streamring_attempts_running "))
                .mapToLong(line -> (long) Double.parseDouble(line.split(" ", -1)[1]))
                .sum();
    }

    @Test
    public void requestsAreServedByOtherEnginesWhileOneFails() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.engines.get(0).setFaults(EngineFaults.failingAtOnce());
        for (int i = 0; i < 30; i++) {
            HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, i % 2 == 0, "");
            assertThat(response.statusCode()).as("request %d", i).isEqualTo(200);
        }
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aServerErrorIsForwardedIfTheRequestMayNotBeRetriedElsewhere() throws Exception {
        fleet = Fleet.small().start(1);
        fleet.engines.forEach(engine -> engine.setFaults(EngineFaults.failingAtOnce()));
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, false, "keyed-1");
        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(Fleet.outcome(response)).isEqualTo("answered");
        assertThat(response.body()).contains("this engine fails");
    }

    @Test
    public void anUnreachableBackendServerIsReportedAsNotRun() throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 5).start(1);
        fleet.engines.get(0).close();
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, false, "");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Fleet.outcome(response)).isEqualTo("not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }
}
