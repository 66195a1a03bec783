package org.streamring.kernel.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PossibleOriginsTest {
    private static final long PERIOD = 1_000;

    private PossibleOrigins origins;

    @BeforeMethod
    public void setUp() {
        origins = new PossibleOrigins();
        list("v1", 0);
    }

    @Test
    public void theOnlyVersionOfTheOnlyServiceIsTheOrigin() {
        list("v1", PERIOD);
        assertThat(only(PERIOD)).contains(new StreamOrigin("assist", "v1", "hotel"));
    }

    @Test
    public void noOriginIsCertainBeforeThePeriodIsCovered() {
        list("v1", PERIOD - 1);
        assertThat(only(PERIOD - 1)).isEmpty();
    }

    @Test
    public void noOriginIsCertainWhileTwoVersionsAreListed() {
        list("v1", 5_000);
        list("v2", 5_000);
        assertThat(only(5_000)).isEmpty();
    }

    @Test
    public void aVersionThatHasEndedIsPossibleUntilThePeriodHasPassed() {
        list("v1", 5_000);
        list("v2", 5_000);
        list("v2", 5_000 + PERIOD);
        assertThat(only(5_000 + PERIOD)).isEmpty();
        list("v2", 5_001 + PERIOD);
        assertThat(only(5_001 + PERIOD)).map(StreamOrigin::softwareVersion).contains("v2");
    }

    @Test
    public void noOriginIsCertainWhileARouteLeadsOrHasJustLedToTwoServices() {
        list("v1", 5_000);
        origins.routed("route", Set.of("other"), 5_000);
        assertThat(only(5_000)).isEmpty();
    }

    @Test
    public void aRouteThatWasAddedWithinThePeriodHasNoCertainOrigin() {
        list("v1", 5_000);
        origins.routed("added", Set.of("assist"), 5_000 - PERIOD + 1);
        origins.routed("added", Set.of("assist"), 5_000);
        assertThat(origins.only("added", "hotel", PERIOD, 5_000)).isEmpty();
    }

    @Test
    public void theVersionsOfOtherServicesDoNotMatter() {
        origins.listed(List.of(instance("other", "v9")), 5_000);
        list("v1", 5_000);
        assertThat(only(5_000)).map(StreamOrigin::softwareVersion).contains("v1");
    }

    @Test
    public void valuesThatWereNotSeenForLongAreForgotten() {
        long later = PossibleOrigins.RETENTION_MILLIS + 1;
        origins.expire(later);
        list("v2", later);
        assertThat(only(later)).isEmpty();
        list("v2", later + PERIOD);
        assertThat(only(later + PERIOD)).map(StreamOrigin::softwareVersion).contains("v2");
    }

    private void list(String version, long nowMillis) {
        origins.routed("route", Set.of("assist"), nowMillis);
        origins.listed(List.of(instance("assist", version)), nowMillis);
    }

    private Optional<StreamOrigin> only(long nowMillis) {
        return origins.only("route", "hotel", PERIOD, nowMillis);
    }

    private static BackendInstance instance(String service, String version) {
        return new BackendInstance("i-" + version, service, "10.0.0.1", 1, "hall", 8, true, 0, 0, version);
    }
}
