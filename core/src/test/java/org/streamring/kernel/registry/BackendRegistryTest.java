package org.streamring.kernel.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.availability.NoOpAvailabilityEvents;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendRegistryTest {
    private static final long KEEP_LAPSED_MILLIS = 2_200;

    private BackendAvailability availability;
    private BackendRegistry registry;

    @BeforeMethod
    public void setUp() {
        availability = new BackendAvailability(() -> 2_000, new NoOpAvailabilityEvents());
        registry = new BackendRegistry(KEEP_LAPSED_MILLIS, availability);
        registry.put(backend("i-1", true), 0);
        registry.put(backend("i-2", true), 0);
    }

    @Test
    public void aServerThatIsShuttingDownTakesNoNewRequests() {
        registry.put(backend("i-1", false), 0);
        assertThat(ids()).containsExactly("i-2");
    }

    @Test
    public void aShutdownIsFinalForItsProcess() {
        registry.put(backend("i-1", false), 0);
        registry.remove("i-1", 100);
        registry.put(backend("i-1", true), 0);
        assertThat(ids()).containsExactly("i-2");
    }

    @Test
    public void aNewProcessWithTheIdentifierOfAServerThatShutDownTakesNewRequests() {
        registry.put(backend("i-1", false), 0);
        registry.put(new BackendInstance("i-1", "assist", "10.0.0.1", 8_080, "hall-1", 64, true, 0, 7, "v1"), 0);
        assertThat(ids()).containsExactlyInAnyOrder("i-1", "i-2");
    }

    /** Three requests reached a server within 1.5 s of back-off that it had requested before its new row was read. */
    @Test
    public void aBackOffRequestedByANewProcessStaysInForceWhenItsRowIsListed() {
        availability.answered(backend("i-1", true).incarnation(), true, new BackendNotice(false, 1_500), 4_900);
        registry.put(new BackendInstance("i-1", "assist", "10.0.0.1", 8_080, "hall-1", 64, true, 0, 7, "v1"), 5_200);
        assertThat(availability.isAvailable("i-1@7", 5_600)).isFalse();
        assertThat(availability.isAvailable("i-1@7", 6_400)).isTrue();
    }

    @Test
    public void aServerWhoseAnswerReportedItsShutdownIsNotKeptThroughAnOutage() {
        availability.answered(backend("i-1", true).incarnation(), false, new BackendNotice(true, 0), 9_000);
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.replaceAll(List.of(backend("i-2", true)), 10_000);
        assertThat(registry.all()).extracting(BackendInstance::id).containsExactly("i-2");
    }

    @Test
    public void aRowRemovedWhileTheListIsAvailableIsRemovedAtOnce() {
        registry.remove("i-1", 10_000);
        assertThat(ids()).containsExactly("i-2");
    }

    @Test
    public void aRowThatLapsedDuringAnOutageIsKeptForALimitedTime() {
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.replaceAll(List.of(backend("i-2", true)), 10_000);

        assertThat(ids()).containsExactlyInAnyOrder("i-1", "i-2");
        registry.expire(10_000 + KEEP_LAPSED_MILLIS - 1);
        assertThat(ids()).contains("i-1");
        assertThat(registry.expire(10_000 + KEEP_LAPSED_MILLIS)).containsExactly("i-1");
        assertThat(ids()).containsExactly("i-2");
    }

    @Test
    public void aRowThatCannotBeParsedIsNotKeptThroughAnOutage() {
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.replaceAll(List.of(backend("i-2", true)), 10_000);
        registry.drop("i-1");
        assertThat(ids()).containsExactly("i-2");
        assertThat(registry.expire(10_000 + KEEP_LAPSED_MILLIS)).isEmpty();
    }

    @Test
    public void aLapsedRowThatIsListedAgainInTimeIsKept() {
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.replaceAll(List.of(), 10_000);
        registry.put(backend("i-1", true), 0);
        registry.expire(20_000);
        assertThat(ids()).containsExactly("i-1");
    }

    @Test
    public void aServerThatIsShuttingDownIsNotKeptThroughAnOutage() {
        registry.put(backend("i-1", false), 0);
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.replaceAll(List.of(backend("i-2", true)), 10_000);
        assertThat(ids()).containsExactly("i-2");
        assertThat(registry.all()).extracting(BackendInstance::id).containsExactly("i-2");
    }

    @Test
    public void rowsRemovedLongAfterAnOutageAreRemovedAtOnce() {
        registry.setListUnavailable();
        registry.listRestored(10_000);
        registry.remove("i-1", 10_000 + KEEP_LAPSED_MILLIS);
        assertThat(ids()).containsExactly("i-2");
    }

    @Test
    public void serversOfAnEvacuatedDomainTakeNoNewRequestsUntilItIsRestored() {
        registry.evacuated(Set.of("hall-1"));
        registry.put(backend("i-3", true), 0);
        assertThat(ids()).isEmpty();
        assertThat(registry.isOpenAndRunning(backend("i-1", true))).isFalse();
        assertThat(registry.find("i-1"))
                .as("still registered for its running streams")
                .isPresent();

        registry.evacuated(Set.of("hall-2"));
        assertThat(ids()).containsExactlyInAnyOrder("i-1", "i-2", "i-3");
    }

    private List<String> ids() {
        return registry.inService("assist").stream()
                .filter(instance -> availability.isAvailable(instance.incarnation(), 0))
                .map(BackendInstance::id)
                .toList();
    }

    private static BackendInstance backend(String id, boolean ready) {
        return new BackendInstance(id, "assist", "10.0.0.1", 8_080, "hall-1", 64, ready, 0, 0, "v1");
    }
}
