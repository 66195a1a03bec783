package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.streamring.model.box.BackendServer;

/**
 * Chooses the backend servers that one entry keeps connections to, so that heartbeats stay within the control traffic
 * allowed per node. Servers are taken from the failure domains in rotation. The subset changes little when a box is
 * added or removed.
 */
public final class SubsetSelector {
    private final String entryName;
    private final int perService;

    /**
     * Creates a selector.
     *
     * @param entryName name of the entry's box; different names give different subsets
     * @param perService maximum number of backend servers per service
     */
    public SubsetSelector(String entryName, int perService) {
        this.entryName = entryName;
        this.perService = perService;
    }

    /** Chooses the subset from all listed backend servers. */
    public Set<BackendServer> choose(Collection<BackendServer> listed) {
        Map<String, List<BackendServer>> byService = listed.stream()
                .collect(Collectors.groupingBy(BackendServer::service, TreeMap::new, Collectors.toList()));
        Set<BackendServer> chosen = new HashSet<>();
        byService.values().forEach(servers -> chosen.addAll(chooseForService(servers)));
        return chosen;
    }

    private List<BackendServer> chooseForService(List<BackendServer> servers) {
        if (servers.size() <= perService) {
            return servers;
        }
        Map<String, BackendServer> byName = servers.stream()
                .collect(Collectors.toMap(BackendServer::name, server -> server, (first, second) -> first));
        Map<String, List<BackendServer>> byDomain = new LinkedHashMap<>();
        RendezvousHash.order(entryName, byName.keySet()).stream()
                .map(byName::get)
                .forEach(server -> byDomain.computeIfAbsent(server.failureDomain(), domain -> new ArrayList<>())
                        .add(server));
        List<BackendServer> chosen = new ArrayList<>();
        for (int round = 0; chosen.size() < perService; round++) {
            for (List<BackendServer> domain : byDomain.values()) {
                if (round < domain.size() && chosen.size() < perService) {
                    chosen.add(domain.get(round));
                }
            }
        }
        return chosen;
    }
}
