package org.streamring.kernel.placement;

import java.util.List;
import java.util.Map;

/**
 * Report that an entry sends to other entries about its requests at replicas.
 *
 * @param shares part of the load of each replica that this entry causes, by replica identifier; replicas without load
 *     from this entry are omitted
 * @param prompts prompts sent to replicas since the previous report
 */
public record PlacementReport(Map<String, ReplicaShare> shares, List<SentPrompt> prompts) {
    /** Copies the map and the list. */
    public PlacementReport {
        shares = Map.copyOf(shares);
        prompts = List.copyOf(prompts);
    }
}
