package org.streamring.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.kernel.routing.ReplicaTable;
import org.streamring.kernel.routing.SubsetSelector;
import org.streamring.kernel.table.BoxList;
import org.streamring.kernel.table.PlatformException;
import org.streamring.model.box.BackendServer;

/**
 * Updates the connections and the replica table from the platform's box list. The list lags and may be wrong, so a
 * server that disappears from it stays usable as long as its sidecar is connected.
 */
final class BoxPoller {
    private final BoxList boxes;
    private final SubsetSelector subsets;
    private final ReplicaTable replicas;
    private final SidecarLinks links;

    BoxPoller(BoxList boxes, SubsetSelector subsets, ReplicaTable replicas, SidecarLinks links) {
        this.boxes = boxes;
        this.subsets = subsets;
        this.replicas = replicas;
        this.links = links;
    }

    void poll() throws PlatformException {
        List<BackendServer> listed = boxes.backendServers();
        Set<BackendServer> chosen = new HashSet<>(subsets.choose(listed));
        Set<String> listedNames = new HashSet<>();
        listed.forEach(server -> listedNames.add(server.name()));
        List<BackendServer> kept = new ArrayList<>(replicas.backendServers());
        kept.removeIf(server -> listedNames.contains(server.name()) || !links.hasConnection(server.name()));
        chosen.addAll(kept);
        replicas.updateSubset(chosen);
        links.updateSubset(chosen);
    }
}
