package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.streamring.model.box.BackendServer;
import org.testng.annotations.BeforeMethod;

/** Base class of the routing tests, with six replicas of one service in three failure domains. */
public abstract class RoutingTestBase {
    protected ReplicaTable table;
    protected ReplicaSelector selector;

    @BeforeMethod
    public void setUp() {
        table = new ReplicaTable();
        selector = new ReplicaSelector(RoutingStrategy.ADAPTIVE, new SplittableRandom(7));
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(server("s" + i, "domain-" + i % 3));
        }
        table.updateSubset(servers);
        servers.forEach(server -> table.connected(server.name(), server.name() + "~1"));
    }

    protected static BackendServer server(String name, String domain) {
        return new BackendServer(name, "llm", domain, "127.0.0.1", 1, false);
    }

    protected List<Candidate> candidates(long now) {
        return table.candidates("llm", incarnation -> true, now);
    }

    protected static Set<String> names(List<Candidate> candidates) {
        Set<String> names = new HashSet<>();
        candidates.forEach(candidate -> names.add(candidate.server().name()));
        return names;
    }

    protected Candidate candidate(String name, long now) {
        return candidates(now).stream()
                .filter(candidate -> candidate.server().name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
