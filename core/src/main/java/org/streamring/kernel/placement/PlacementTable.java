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
import java.util.function.ToLongFunction;
import org.streamring.kernel.limit.RankLimit;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.model.route.ServiceTraits;

/**
 * Chooses replicas: for a plain service the one with the fewest requests, for model engines the one where least is lost
 * by it ({@link PlacementCost}). Confined to one thread.
 */
public final class PlacementTable {
    /** Parts of prompts fill what running requests leave of a replica's memory. */
    private static final double PART_OF_MEMORY_FOR_PARTS = 0.8;

    private final Random random;
    private final Map<String, ReplicaState> states = new HashMap<>();
    private final Map<String, String> incarnations = new HashMap<>();
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final PlacementNews news = new PlacementNews();

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

    /**
     * Notes which process answers under an identifier. Another one keeps no parts of prompts and has not failed yet;
     * attempts at the earlier one go on with its state, which nobody asks any more.
     */
    public void listed(BackendInstance instance) {
        String before = incarnations.put(instance.id(), instance.incarnation());
        if (before != null && !before.equals(instance.incarnation())) {
            states.remove(instance.id());
        }
    }

    /** Forgets replicas that are gone, unless attempts still run there. */
    public void keepOnly(Set<String> ids) {
        states.entrySet()
                .removeIf(entry ->
                        !ids.contains(entry.getKey()) && entry.getValue().running() == 0);
        incarnations.keySet().removeIf(id -> !ids.contains(id) && !states.containsKey(id));
    }

    /**
     * Chooses a replica.
     *
     * @param ready replicas of the service that take new requests
     * @param entries live entries that share them
     * @return empty if none may take the request now
     */
    public Optional<BackendInstance> choose(
            PlacementQuery query, ServiceTraits service, List<BackendInstance> ready, int entries, long nowMillis) {
        List<BackendInstance> candidates = ready.stream()
                .filter(instance -> !query.excluded().contains(instance.id()))
                .filter(instance -> state(instance.id()).usable(nowMillis))
                .filter(instance -> hasRoom(instance, query.rank(), entries))
                .toList();
        return service.isEngine() ? cheapest(query, service, candidates, nowMillis) : leastLoaded(query, candidates);
    }

    /** Notes that a request begins at a replica. */
    public PlacedPrompt started(PlacementQuery query, ServiceTraits service, BackendInstance instance, long nowMillis) {
        ReplicaState replica = state(instance.id());
        PlacementCost cost = cost(service, List.of(instance), nowMillis);
        PlacementForecast forecast = cost.forecast(query, replica, slotsOf(service, instance));
        if (service.isEngine()) {
            replica.pauseCaused(cost.pauseAdded(query, replica, forecast.tokensToRead()), nowMillis);
            news.read(instance.id(), query.prompt(), cost.readingMillis(replica, (double) forecast.tokensToRead()));
        }
        double weight = service.isEngine() ? PlacementCost.weight(query) : 0;
        return replica.started(
                query, speed(service), forecast, weight, memoryForParts(service.memoryTokens()), nowMillis);
    }

    /** Says what to do when other entries should know of a long prompt before the next regular report. */
    public void onLongPrompt(Runnable listener) {
        news.onLongPrompt(listener);
    }

    /** What other entries should know: this entry's load, and prompts sent since the last call. */
    public PlacementReport report(long nowMillis) {
        Map<String, ReplicaShare> shares = new HashMap<>();
        states.forEach((id, replica) -> {
            ReplicaShare share = replica.ownShare(nowMillis);
            if (share.matters()) {
                shares.put(id, share);
            }
        });
        return new PlacementReport(shares, news.take());
    }

    /**
     * Takes what another entry reports, in place of what it reported before.
     *
     * @param entry identifier of its process
     * @param memoryOf memory of a replica in tokens, by its identifier; 0 if it is not known
     */
    public void reported(String entry, PlacementReport report, ToLongFunction<String> memoryOf, long nowMillis) {
        forget(entry);
        report.shares().forEach((id, share) -> state(id).told(entry, share, nowMillis));
        report.prompts().forEach(read -> state(read.replica())
                .readForOther(read.parts(), memoryForParts(memoryOf.applyAsLong(read.replica()))));
    }

    /** Forgets the load of an entry from which nothing is heard any more. */
    public void forget(String entry) {
        states.values().forEach(replica -> replica.forget(entry));
    }

    private boolean hasRoom(BackendInstance instance, int rank, int entries) {
        ReplicaState replica = state(instance.id());
        int capacity = Math.max(1, instance.slots());
        return replica.running() < RankLimit.of(ownRoom(capacity, entries), rank)
                || replica.runningOfAll() < RankLimit.of(sharedRoom(capacity), rank);
    }

    /** Room that an entry uses whatever the others do. */
    private static int ownRoom(int capacity, int entries) {
        int own = entries <= 1 ? capacity : Math.max(2, (capacity * 2 + entries - 1) / entries);
        return Math.min(own, capacity);
    }

    /**
     * Room that whoever needs it uses, as long as the others leave it. Without it the entry that a busy account's
     * callers reach refuses beside free replicas: 246 requests of 9,819 on a day on which one of forty accounts sent
     * 2.7 times its usual for six seconds to 33 entries.
     */
    private static int sharedRoom(int capacity) {
        return (int) (capacity * PlacementCost.FULL_PART);
    }

    /** Nothing is learned of how long plain requests hold a slot, so no wait is forecast for them. */
    private static int slotsOf(ServiceTraits service, BackendInstance instance) {
        return service.isEngine() ? instance.slots() : Integer.MAX_VALUE;
    }

    private Optional<BackendInstance> cheapest(
            PlacementQuery query, ServiceTraits service, List<BackendInstance> candidates, long nowMillis) {
        PlacementCost cost = cost(service, candidates, nowMillis);
        Map<String, Double> costs = new HashMap<>();
        candidates.forEach(instance -> costs.put(
                instance.id(), cost.of(query, state(instance.id()), instance.slots(), sameDomain(query, instance))));
        return inOrder(query.prompt(), candidates).stream()
                .min(Comparator.comparingDouble(instance -> costs.get(instance.id())));
    }

    private Optional<BackendInstance> leastLoaded(PlacementQuery query, List<BackendInstance> candidates) {
        return shuffled(candidates).stream()
                .min(Comparator.comparingInt((BackendInstance instance) ->
                                state(instance.id()).running())
                        .thenComparing(instance -> !sameDomain(query, instance)));
    }

    private List<BackendInstance> shuffled(List<BackendInstance> candidates) {
        List<BackendInstance> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, random);
        return shuffled;
    }

    /** Among replicas that cost the same, all entries prefer the same one for prompts that begin alike. */
    private List<BackendInstance> inOrder(Prompt prompt, List<BackendInstance> candidates) {
        Optional<PromptPart> shared = prompt.lastShared();
        if (shared.isEmpty()) {
            return shuffled(candidates);
        }
        Map<String, BackendInstance> byId = new HashMap<>();
        candidates.forEach(instance -> byId.put(instance.id(), instance));
        return RendezvousHash.order(shared.get().id(), byId.keySet()).stream()
                .map(byId::get)
                .toList();
    }

    private static boolean sameDomain(PlacementQuery query, BackendInstance instance) {
        return instance.failureDomain().equals(query.failureDomain());
    }

    private PlacementCost cost(ServiceTraits service, List<BackendInstance> candidates, long nowMillis) {
        return new PlacementCost(speed(service), typicalGapMillis(candidates), service.tokensPerEvent(), nowMillis);
    }

    /** Median of the replicas' usual times between events. */
    private double typicalGapMillis(List<BackendInstance> candidates) {
        double[] gaps = candidates.stream()
                .mapToDouble(instance -> state(instance.id()).eventGapMillis())
                .filter(gap -> gap > 0)
                .sorted()
                .toArray();
        return gaps.length == 0 ? ReplicaState.INITIAL_GAP_MILLIS : gaps[(gaps.length - 1) / 2];
    }

    private EngineSpeed speed(ServiceTraits service) {
        return speeds.computeIfAbsent(service.name(), name -> new EngineSpeed());
    }

    private static long memoryForParts(long memoryTokens) {
        return (long) (memoryTokens * PART_OF_MEMORY_FOR_PARTS);
    }
}
