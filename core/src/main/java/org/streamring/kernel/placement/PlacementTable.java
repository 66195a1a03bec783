package org.streamring.kernel.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.streamring.kernel.limit.RankLimit;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Chooses replicas by load, and for prompts that begin alike the same one while its load allows.
 *
 * <p>Load is in milliseconds of work ahead: prompt tokens to be read, and a share for each running request. Confined to
 * one thread.
 */
public final class PlacementTable {
    private static final double TOKENS_READ_PER_MILLI = 50;
    private static final double RUNNING_MILLIS = 6;
    private static final double BOUND_FACTOR = 1.5;
    private static final double BOUND_SLACK_MILLIS = 120;

    private final Random random;
    private final Map<String, ReplicaState> states = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param random breaks ties
     */
    public PlacementTable(Random random) {
        this.random = random;
    }

    /** State of a replica. */
    public ReplicaState state(String id) {
        return states.computeIfAbsent(id, key -> new ReplicaState());
    }

    /** Forgets replicas that are gone, unless attempts still run there. */
    public void keepOnly(Set<String> ids) {
        states.entrySet()
                .removeIf(entry ->
                        !ids.contains(entry.getKey()) && entry.getValue().running() == 0);
    }

    /**
     * Chooses a replica.
     *
     * @param ready replicas of the service that take new requests
     * @param entries live entries that share them
     * @return empty if none may take the request now
     */
    public Optional<BackendInstance> choose(
            PlacementQuery query, List<BackendInstance> ready, int entries, long nowMillis) {
        List<BackendInstance> candidates = ready.stream()
                .filter(instance -> !query.excluded().contains(instance.id()))
                .filter(instance -> state(instance.id()).usable(nowMillis))
                .filter(instance -> hasRoom(instance, query.rank(), entries))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Optional<BackendInstance> near = query.affinity().isEmpty() ? Optional.empty() : preferred(query, candidates);
        return near.or(() -> leastLoaded(query, candidates));
    }

    private boolean hasRoom(BackendInstance instance, int rank, int entries) {
        int capacity = Math.max(1, instance.slots());
        int own = entries <= 1 ? capacity : Math.max(2, (capacity * 2 + entries - 1) / entries);
        return state(instance.id()).running() < RankLimit.of(Math.min(own, capacity), rank);
    }

    private Optional<BackendInstance> preferred(PlacementQuery query, List<BackendInstance> candidates) {
        double mean = candidates.stream().mapToDouble(this::load).average().orElse(0);
        double bound = mean * BOUND_FACTOR + BOUND_SLACK_MILLIS;
        Map<String, BackendInstance> byId = new HashMap<>();
        candidates.forEach(instance -> byId.put(instance.id(), instance));
        return RendezvousHash.order(query.affinity(), byId.keySet()).stream()
                .map(byId::get)
                .filter(instance -> load(instance) <= bound)
                .findFirst();
    }

    private Optional<BackendInstance> leastLoaded(PlacementQuery query, List<BackendInstance> candidates) {
        List<BackendInstance> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, random);
        return shuffled.stream()
                .min(Comparator.comparingDouble(this::load)
                        .thenComparing(instance -> !instance.failureDomain().equals(query.failureDomain())));
    }

    private double load(BackendInstance instance) {
        ReplicaState state = state(instance.id());
        return state.outstandingTokens() / TOKENS_READ_PER_MILLI + state.running() * RUNNING_MILLIS;
    }
}
