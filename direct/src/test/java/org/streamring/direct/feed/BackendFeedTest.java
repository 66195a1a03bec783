package org.streamring.direct.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.request.AvailabilityLog;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.platform.node.OperatorRows;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendFeedTest {
    private DecisionLog log;
    private BackendRegistry registry;
    private BackendFeed feed;

    @BeforeMethod
    public void setUp() {
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        registry = new BackendRegistry(0, new BackendAvailability(() -> 0, new AvailabilityLog(log)));
        feed = new BackendFeed(
                new StartTimes(),
                registry,
                new ColdReplicas(
                        "entry",
                        Set::of,
                        new FleetShare(() -> new FleetShare.View(1, 0, FleetShare.Start.FIRST), () -> 0)),
                new PlacementTable(new Random(1)),
                () -> 0,
                log);
        feed.onList(List.of(row("i-1", 1_000), row("i-2", 1_000)));
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        log.close();
    }

    /** Guards against a restored row that replaced a restarted server, whose request for rest was then forgotten. */
    @Test
    public void aRestoredRowDoesNotReplaceALaterProcessOfItsServer() {
        feed.onChange(row("i-1", 2_000));
        feed.onRestoredList(List.of(row("i-1", 1_000), row("i-2", 1_000)));
        assertThat(registry.find("i-1")).map(BackendInstance::startedMillis).contains(2_000L);
    }

    @Test
    public void aServerThatWasRemovedIsNotRestored() {
        feed.onChange(new StoredRow(new RowKey("servers", "", "i-1"), "", 9, true));
        feed.onRestoredList(List.of(row("i-1", 1_000), row("i-2", 1_000)));
        assertThat(registry.find("i-1")).isEmpty();
    }

    @Test
    public void aServerThatIsMissingInTheCopyIsKeptUntilItsRowShouldBeBack() {
        feed.onRestoredList(List.of(row("i-2", 1_000)));
        assertThat(registry.find("i-1")).isPresent();
        feed.onList(List.of(row("i-2", 1_000)));
        assertThat(registry.find("i-1")).isEmpty();
    }

    private static StoredRow row(String id, long startedMillis) {
        return new StoredRow(new RowKey("servers", "", id), String.valueOf(startedMillis), 1, false);
    }

    /** Rows whose value is the start time of a server. */
    private static final class StartTimes implements OperatorRows {
        @Override
        public String configurationTable() {
            return "op";
        }

        @Override
        public String backendTable() {
            return "servers";
        }

        @Override
        public Optional<RoutingConfiguration> configuration(StoredRow row) {
            return Optional.empty();
        }

        @Override
        public Optional<String> evacuated(StoredRow row) {
            return Optional.empty();
        }

        @Override
        public BackendInstance backend(StoredRow row) {
            long startedMillis = Long.parseLong(row.value());
            return new BackendInstance(row.key().key(), "s", "127.0.0.1", 1, "hall", 1, true, 0, startedMillis, "v1");
        }
    }
}
