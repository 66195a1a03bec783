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
 * Chooses replicas: for a plain service the one with the fewest requests, for model engines the one with the lowest
 * {@link PlacementCost}. Confined to one thread.
 */
public final class PlacementTable {
    /** Fraction of the memory of a replica that caches prompt parts; running requests use the rest. */
    private static final double CACHE_MEMORY_FRACTION = 0.8;

    private final Random random;
    private final Map<String, ReplicaState> states = new HashMap<>();
    private final Map<String, String> incarnations = new HashMap<>();
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final UnreportedPrompts unreportedPrompts = new UnreportedPrompts();

    /**
     * Creates an empty table.
     *
     * @param random random source for breaking ties
     */
    public PlacementTable(Random random) {
        this.random = random;
    }

    /** Returns the state of a replica, creating it if necessary. */
    public ReplicaState state(String id) {
        return states.computeIfAbsent(id, key -> new ReplicaState());
    }

    /**
     * Records which process currently uses a replica identifier. A new process starts with a new state: its cache is
     * empty and it has no failures. Attempts at the earlier process still update the old state, which is no longer
     * read.
     */
    public void listed(BackendInstance instance) {
        String before = incarnations.put(instance.id(), instance.incarnation());
        if (before != null && !before.equals(instance.incarnation())) {
            states.remove(instance.id());
        }
    }

    /** Removes all replicas except the given ones and those where attempts of this entry are in progress. */
    public void keepOnly(Set<String> ids) {
        states.entrySet()
                .removeIf(entry ->
                        !ids.contains(entry.getKey()) && entry.getValue().running() == 0);
        incarnations.keySet().removeIf(id -> !ids.contains(id) && !states.containsKey(id));
    }

    /**
     * Chooses a replica. An ejected one is chosen only for a stream that has to go on at a software version, if no
     * other replica of that version is left: the stream is lost otherwise.
     *
     * @param ready replicas of the service that accept new requests
     * @param entries number of live entries that share the replicas
     * @return the chosen replica, or empty if none can accept the request now
     */
    public Optional<BackendInstance> choose(
            PlacementQuery query, ServiceTraits service, List<BackendInstance> ready, int entries, long nowMillis) {
        List<BackendInstance> untried = ready.stream()
                .filter(instance -> !query.excluded().contains(instance.id()))
                .filter(instance -> hasFreeSlot(instance, query.rank(), entries))
                .toList();
        List<BackendInstance> usable = untried.stream()
                .filter(instance -> state(instance.id()).usable(nowMillis))
                .toList();
        boolean lastResort = usable.isEmpty() && query.softwareVersion().isPresent();
        List<BackendInstance> candidates = lastResort ? untried : usable;
        return service.isEngine() ? cheapest(query, service, candidates, nowMillis) : leastLoaded(query, candidates);
    }

    /**
     * Returns why a replica isn't chosen for a query, or {@code chosen_otherwise} if none of the reasons applies.
     *
     * @param entries number of live entries that share the replicas
     */
    public String obstacle(PlacementQuery query, BackendInstance instance, int entries, long nowMillis) {
        if (query.excluded().contains(instance.id())) {
            return "tried";
        }
        if (!hasFreeSlot(instance, query.rank(), entries)) {
            return "no_free_slot";
        }
        return state(instance.id()).usable(nowMillis) ? "chosen_otherwise" : "ejected";
    }

    /** Records that a request starts at a replica. */
    public PlacedPrompt started(PlacementQuery query, ServiceTraits service, BackendInstance instance, long nowMillis) {
        ReplicaState replica = state(instance.id());
        PlacementCost cost = cost(service, List.of(instance), nowMillis);
        PlacementForecast forecast = cost.forecast(query, replica, slotsOf(service, instance));
        if (service.isEngine()) {
            replica.recordPause(cost.pauseAdded(query, replica, forecast.uncachedTokens()), nowMillis);
            unreportedPrompts.add(
                    instance.id(), query.prompt(), cost.readingMillis(replica, (double) forecast.uncachedTokens()));
        }
        double weight = service.isEngine() ? PlacementCost.weight(query) : 0;
        return replica.started(query, speed(service), forecast, weight, cacheTokens(service.memoryTokens()), nowMillis);
    }

    /** Sets the listener that is called when a long prompt should be reported before the next regular report. */
    public void onLongPrompt(Runnable listener) {
        unreportedPrompts.onLongPrompt(listener);
    }

    /** Returns the report for other entries: the load of this entry, and the prompts sent since the last call. */
    public PlacementReport report(long nowMillis) {
        Map<String, ReplicaShare> shares = new HashMap<>();
        states.forEach((id, replica) -> {
            ReplicaShare share = replica.ownShare(nowMillis);
            if (share.isSignificant()) {
                shares.put(id, share);
            }
        });
        return new PlacementReport(shares, unreportedPrompts.drain());
    }

    /**
     * Applies the report of another entry, replacing its previous one.
     *
     * @param entry identifier of the process of that entry
     * @param memoryOf memory of a replica in tokens, by its identifier; 0 if it is unknown
     */
    public void applyReport(String entry, PlacementReport report, ToLongFunction<String> memoryOf, long nowMillis) {
        forget(entry);
        report.shares().forEach((id, share) -> state(id).setPeerShare(entry, share, nowMillis));
        report.prompts().forEach(prompt -> state(prompt.replica())
                .recordPeerPrompt(prompt.parts(), cacheTokens(memoryOf.applyAsLong(prompt.replica()))));
    }

    /** Removes the load of an entry that no longer sends reports. */
    public void forget(String entry) {
        states.values().forEach(replica -> replica.forget(entry));
    }

    private boolean hasFreeSlot(BackendInstance instance, int rank, int entries) {
        ReplicaState replica = state(instance.id());
        int capacity = Math.max(1, instance.slots());
        return replica.running() < RankLimit.of(guaranteedSlots(capacity, entries), rank)
                || replica.runningOfAll() < RankLimit.of(sharedSlots(capacity), rank);
    }

    /** Returns the number of slots that an entry may use regardless of the load of other entries. */
    private static int guaranteedSlots(int capacity, int entries) {
        int doubleShare = entries <= 1 ? capacity : Math.max(2, (capacity * 2 + entries - 1) / entries);
        return Math.min(doubleShare, capacity);
    }

    /**
     * Returns the number of slots that any entry may use as long as other entries do not use them. Without these shared
     * slots, an entry that receives most requests of a busy account refuses requests while replicas have free slots:
     * 246 of 9,819 requests when one of 40 accounts sent 2.7 times its usual rate for 6 s to a fleet of 33 entries.
     */
    private static int sharedSlots(int capacity) {
        return (int) (capacity * PlacementCost.FULL_FRACTION);
    }

    /** Returns no limit for plain services: slot times are not measured for them, so no wait can be forecast. */
    private static int slotsOf(ServiceTraits service, BackendInstance instance) {
        return service.isEngine() ? instance.slots() : Integer.MAX_VALUE;
    }

    private Optional<BackendInstance> cheapest(
            PlacementQuery query, ServiceTraits service, List<BackendInstance> candidates, long nowMillis) {
        PlacementCost cost = cost(service, candidates, nowMillis);
        Map<String, Double> costs = new HashMap<>();
        candidates.forEach(instance -> costs.put(
                instance.id(), cost.of(query, state(instance.id()), instance.slots(), sameDomain(query, instance))));
        return inPreferenceOrder(query.prompt(), candidates).stream()
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

    /** Sorts replicas so that, at equal cost, all entries choose the same replica for prompts with a common prefix. */
    private List<BackendInstance> inPreferenceOrder(Prompt prompt, List<BackendInstance> candidates) {
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

    /** Returns the median over the candidates of their usual time between events. */
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

    private static long cacheTokens(long memoryTokens) {
        return (long) (memoryTokens * CACHE_MEMORY_FRACTION);
    }
}
