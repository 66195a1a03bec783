package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.streamring.cli.OperatorClient;
import org.streamring.fleet.Fleet;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowKeys;
import org.streamring.standin.platform.PlatformFaults;
import org.streamring.standin.proxy.FaultProxy;
import org.testng.annotations.Test;

public class ConfigurationInForceTest extends FleetTestBase {
    private static OperatorClient.Wanted rank(int rank) {
        ConfigItem item = new ConfigItem("classes", "urgent", "{\"rank\":" + rank + "}");
        return new OperatorClient.Wanted("apply", List.of(item), List.of(), List.of());
    }

    private boolean inForce(String entry, long version) {
        return fleet.entries.get(entry).log().contains("configuration_in_force version=" + version);
    }

    @Test
    public void oneOfSeveralConcurrentChangesIsAppliedAndReachesAllEntries() throws Exception {
        fleet = Fleet.small().start(2);
        OperatorClient.State state = fleet.operator("a").state();
        List<CompletableFuture<OperatorClient.Outcome>> changes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            OperatorClient operator = fleet.operator("operator-" + i);
            OperatorClient.Wanted wanted = rank(i);
            changes.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return operator.change(state, wanted);
                } catch (PlatformException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        long appliedCount = 0;
        for (CompletableFuture<OperatorClient.Outcome> change : changes) {
            appliedCount += change.get() instanceof OperatorClient.Outcome.Applied ? 1 : 0;
        }
        assertThat(appliedCount).isEqualTo(1);
        eventually("version 2 is in force at all entries").until(() -> inForce("entry-1", 2) && inForce("entry-2", 2));
    }

    @Test
    public void aChangeWhoseResponseIsLostIsAppliedOnce() throws Exception {
        fleet = Fleet.small().start(1);
        long granted = fleet.rowAmount(RowKeys.granted("trial"));
        fleet.platform.setFaults(new PlatformFaults(false, 0, 2, false, 0));
        for (int i = 1; i <= 4; i++) {
            OperatorClient.Outcome outcome = fleet.operator("op")
                    .changeLatest(new OperatorClient.Wanted(
                            "top-up",
                            List.of(),
                            List.of(new org.streamring.kernel.config.ConfigChange.Grant("trial", 10, false)),
                            List.of()));
            assertThat(outcome).isEqualTo(new OperatorClient.Outcome.Applied(1 + i));
        }
        assertThat(fleet.rowAmount(RowKeys.granted("trial"))).isEqualTo(granted + 40);
    }

    @Test
    public void anEntryAppliesTheNewestVersionAfterAConnectionLoss() throws Exception {
        fleet = Fleet.small().start(2);
        fleet.platformProxies.get("entry-2").setMode(FaultProxy.Mode.CUT);
        for (int i = 0; i < 5; i++) {
            fleet.operator("op").changeLatest(rank(i));
        }
        eventually("version 6 is in force at entry-1").until(() -> inForce("entry-1", 6));
        assertThat(fleet.chat("entry-2", Fleet.HOSPITAL_KEY, 2, false, "").statusCode())
                .as("served from its lease while disconnected")
                .isEqualTo(200);
        fleet.platformProxies.get("entry-2").setMode(FaultProxy.Mode.PASS);
        eventually("version 6 is in force at entry-2").until(() -> inForce("entry-2", 6));
        List<Long> versions = new ArrayList<>();
        fleet.entries
                .get("entry-2")
                .log()
                .lines()
                .filter(line -> line.contains("configuration_in_force"))
                .forEach(line -> versions.add(Long.parseLong(line.replaceAll(".*version=", ""))));
        assertThat(versions).isSorted();
    }

    @Test
    public void aTopUpEndsRefusalsWithinSeconds() throws Exception {
        fleet = Fleet.small().start(1);
        assertThat(fleet.chat("entry-1", "quickstart-trial-user", 400, false, "")
                        .statusCode())
                .isEqualTo(402);
        fleet.operator("op")
                .changeLatest(new OperatorClient.Wanted(
                        "top-up",
                        List.of(),
                        List.of(new org.streamring.kernel.config.ConfigChange.Grant("trial", 10_000, false)),
                        List.of()));
        eventually("the request is served")
                .until(() -> fleet.chat("entry-1", "quickstart-trial-user", 400, false, "")
                                .statusCode()
                        == 200);
    }
}
