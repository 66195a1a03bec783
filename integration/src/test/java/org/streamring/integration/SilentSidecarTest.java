package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.fleet.Fleet;
import org.streamring.fleet.ProgramProcess;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.proxy.FaultProxy;
import org.testng.annotations.Test;

/** Tests requests in progress while one of the processes that serve them falls silent and goes on. */
public class SilentSidecarTest extends FleetTestBase {
    private static final EngineSettings SLOW = new EngineSettings(20, 32, 2048, 256);
    private static final int TOKENS = 250;
    /** Longer than the time after which a connection counts as silent, three missed heartbeats. */
    private static final long SILENCE_MILLIS = 2_200;

    @Test
    public void aStreamGoesOnAfterItsSidecarWasSilent() throws Exception {
        CompletableFuture<HttpResponse<String>> stream = openStream(1);
        pauseShortly(fleet.sidecars.get("assist-1"));
        assertWhole(stream);
    }

    @Test
    public void aStreamGoesOnAfterItsEntryWasSilent() throws Exception {
        CompletableFuture<HttpResponse<String>> stream = openStream(1);
        pauseShortly(fleet.entries.get("entry-1"));
        assertWhole(stream);
    }

    @Test
    public void aStreamGoesOnAfterTheConnectionToItsSidecarWasSilent() throws Exception {
        CompletableFuture<HttpResponse<String>> stream = openStream(1);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.FREEZE);
        Thread.sleep(SILENCE_MILLIS);
        fleet.sidecarProxies.get("assist-1").setMode(FaultProxy.Mode.PASS);
        assertWhole(stream);
    }

    @Test
    public void aCallThatMayNotBeRepeatedIsAnsweredAfterItsSidecarWasSilent() throws Exception {
        fleet = new Fleet(1, SLOW, 1_000).start(1);
        CompletableFuture<HttpResponse<String>> call = fleet.plainAsync("entry-1", "POST", "/setpoints/7", "");
        Thread.sleep(300);
        pauseShortly(fleet.sidecars.get("control-1"));
        HttpResponse<String> response = call.get(20, TimeUnit.SECONDS);
        assertThat(Fleet.outcome(response)).as(response.body()).isEqualTo("answered");
    }

    @Test
    public void otherRequestsAreServedBesideAConnectionThatStaysSilent() throws Exception {
        CompletableFuture<HttpResponse<String>> stream = openStream(1);
        fleet.sidecarProxies.get("assist-1").silenceOpenConnections();
        long startNanos = System.nanoTime();
        eventually("a request is served over another connection")
                .until(() ->
                        fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 3, false, "").statusCode() == 200);
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(6));
        assertThat(stream.get(20, TimeUnit.SECONDS).body()).contains("\"outcome\":\"unknown\"");
    }

    private CompletableFuture<HttpResponse<String>> openStream(int engines) throws Exception {
        fleet = new Fleet(engines, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> stream =
                fleet.chatAsync("entry-1", Fleet.HOSPITAL_KEY, TOKENS, true, "");
        eventually("streaming").until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0);
        Thread.sleep(300);
        return stream;
    }

    private static void pauseShortly(ProgramProcess process) throws InterruptedException {
        process.pause();
        Thread.sleep(SILENCE_MILLIS);
        process.resume();
    }

    private void assertWhole(CompletableFuture<HttpResponse<String>> stream) throws Exception {
        String body = stream.get(30, TimeUnit.SECONDS).body();
        assertThat(body).contains("\"outcome\":\"answered\"").contains("[DONE]");
        assertThat(body.split("\"content\":\"word \"", -1)).hasSize(TOKENS + 1);
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }
}
