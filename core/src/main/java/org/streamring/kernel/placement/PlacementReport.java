package org.streamring.kernel.placement;

import java.util.List;
import java.util.Map;

/**
 * What an entry tells others of its requests at replicas.
 *
 * @param shares its part of each replica's load; replicas without any are left out
 * @param prompts prompts sent since its last report
 */
public record PlacementReport(Map<String, ReplicaShare> shares, List<PromptRead> prompts) {
    /** Copies map and list. */
    public PlacementReport {
        shares = Map.copyOf(shares);
        prompts = List.copyOf(prompts);
    }
}
