package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamring.model.box.BackendServer;
import org.testng.annotations.Test;

public class SubsetSelectorTest extends RoutingTestBase {
    @Test
    public void subsetsSpreadOverFailureDomainsAndCoverAlmostAllServers() {
        List<BackendServer> all = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            all.add(server("r" + i, "domain-" + i % 16));
        }
        Set<BackendServer> covered = new HashSet<>();
        for (int entry = 0; entry < 80; entry++) {
            Set<BackendServer> subset = new SubsetSelector("entry-" + entry, 32).choose(all);
            assertThat(subset).hasSize(32);
            Map<String, Integer> perDomain = new HashMap<>();
            subset.forEach(server -> perDomain.merge(server.failureDomain(), 1, Integer::sum));
            assertThat(perDomain.values()).allMatch(count -> count == 2);
            covered.addAll(subset);
        }
        assertThat(covered).as("covered by some entry").hasSizeGreaterThan(395);
    }
}
