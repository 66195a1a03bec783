package org.streamring.kernel.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteKind;
import org.streamring.model.route.RouteTarget;
import org.streamring.model.route.RoutingConfiguration;
import org.testng.annotations.Test;

public class RouteTableTest {
    private final Route outer = route("outer", "/a/", false, new RouteTarget("s1", 1));
    private final Route inner = route("inner", "/a/b/", true, new RouteTarget("s1", 90), new RouteTarget("s2", 10));
    private final PrepaidAccount account =
            new PrepaidAccount("hotel", List.of("key-1"), OptionalInt.empty(), OptionalLong.of(10));
    private final RouteTable table = new RouteTable(
            new RoutingConfiguration(7, List.of(outer, inner), List.of(), List.of(account), CallerLimits.DEFAULT));

    @Test
    public void theRouteWithTheLongestPrefixIsFound() {
        assertThat(table.find("h.example", "/a/b/c")).contains(inner);
        assertThat(table.find("h.example", "/a/c")).contains(outer);
    }

    @Test
    public void hostsMatchIgnoringCaseAndPort() {
        assertThat(table.find("H.Example:8080", "/a/c")).contains(outer);
    }

    @Test
    public void theQueryIsNotPartOfThePath() {
        assertThat(table.find("h.example", "/a/?x=/a/b/")).contains(outer);
        assertThat(table.find("h.example", "/x?/a/")).isEmpty();
    }

    @Test
    public void unknownHostsAndPathsHaveNoRoute() {
        assertThat(table.find("other.example", "/a/")).isEmpty();
        assertThat(table.find("h.example", "/a")).isEmpty();
    }

    @Test
    public void publicRoutesNeedNoKey() {
        assertThat(table.needsKey(outer)).isTrue();
        assertThat(table.needsKey(inner)).isFalse();
    }

    @Test
    public void keysBelongToTheirAccount() {
        assertThat(table.accountOfKey("key-1")).contains(account);
        assertThat(table.accountOfKey("key-2")).isEmpty();
    }

    @Test
    public void servicesAreSelectedByWeight() {
        assertThat(RouteTable.pickService(inner, 0.0)).isEqualTo("s1");
        assertThat(RouteTable.pickService(inner, 0.899)).isEqualTo("s1");
        assertThat(RouteTable.pickService(inner, 0.901)).isEqualTo("s2");
    }

    private static Route route(String name, String prefix, boolean isPublic, RouteTarget... targets) {
        return new Route(
                name,
                "h.example",
                prefix,
                RouteKind.REPEATABLE,
                false,
                isPublic,
                0,
                2,
                Duration.ofSeconds(2),
                Duration.ofMillis(300),
                Duration.ofMillis(400),
                List.of(targets));
    }
}
