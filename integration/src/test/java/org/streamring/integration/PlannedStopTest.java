package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.streamring.cli.OperatorClient;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.DeclarationItems;
import org.streamring.standin.engine.EngineSettings;
import org.testng.annotations.Test;

public class PlannedStopTest extends FleetTestBase {
    private static final EngineSettings SLOW = new EngineSettings(10, 32, 2048, 256);

    private CompletableFuture<HttpResponse<String>> openStream(String entry) {
        int before = fleet.engineRecords().size();
        CompletableFuture<HttpResponse<String>> stream = fleet.chatAsync(entry, Fleet.HOSPITAL_KEY, 200, true, "");
        eventually("streaming")
                .until(() -> fleet.leasedTokens(Fleet.BUDGET) > 0
                        || fleet.engineRecords().size() > before);
        return stream;
    }

    @Test
    public void aStoppingEntryFinishesItsStreamsAndReturnsItsLeases() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> stream = openStream("entry-1");
        Thread.sleep(300);
        fleet.stopEntries();
        assertThat(stream.get().body()).contains("\"outcome\":\"answered\"").contains("[DONE]");
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aStoppingSidecarFinishesItsStreamsAndGetsNoNewRequests() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(1);
        CompletableFuture<HttpResponse<String>> first = openStream("entry-1");
        CompletableFuture<HttpResponse<String>> second = openStream("entry-1");
        Thread.sleep(300);
        fleet.sidecars.get("assist-1").requestStop();
        for (int i = 0; i < 20; i++) {
            assertThat(fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 3, false, "").statusCode())
                    .isEqualTo(200);
        }
        assertThat(first.get().body()).contains("\"outcome\":\"answered\"");
        assertThat(second.get().body()).contains("\"outcome\":\"answered\"");
        fleet.sidecars.get("assist-1").awaitExit();
        fleet.stopEntries();
        assertBillsMatchEngineRecords();
    }

    @Test
    public void aDrainedBackendServerGetsNoNewRequestsAlthoughTheBoxListHasItAsLive() throws Exception {
        fleet = new Fleet(2, SLOW, 5).start(1);
        ConfigItem drain = new ConfigItem(DeclarationItems.BACKENDS, "assist-1", "{\"state\":\"DRAIN\"}");
        OperatorClient.Outcome outcome = fleet.operator("test")
                .changeLatest(new OperatorClient.Wanted("backend drain", List.of(drain), List.of(), List.of()));
        assertThat(outcome).isInstanceOf(OperatorClient.Outcome.Applied.class);
        eventually("the drain order is in force")
                .until(() -> fleet.entries.get("entry-1").log().contains("configuration_in_force version=2"));
        int before = fleet.engines.get(0).records().size();
        for (int i = 0; i < 15; i++) {
            assertThat(fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 3, false, "").statusCode())
                    .isEqualTo(200);
        }
        assertThat(fleet.engines.get(0).records()).hasSize(before);
    }
}
