package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Chooses the replica for a request: the best of a few picked at random, so that outdated load reports do not send all
 * requests to the same replica. Replicas that may have the prefix of the prompt cached are considered as well and are
 * preferred even if they are somewhat busier. A request with an identifier from its caller goes to the replica that
 * every entry tries first for this identifier.
 */
public final class ReplicaSelector {
    private static final int ADAPTIVE_SAMPLE_SIZE = 3;
    private static final int BASELINE_SAMPLE_SIZE = 2;
    /** Cost deducted for a replica that has the whole prompt cached, as a fraction of its capacity. */
    private static final double CACHED_PROMPT_BONUS = 0.3;

    private final RoutingStrategy strategy;
    private final RandomGenerator random;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final AtomicInteger nextIndex = new AtomicInteger();

    /**
     * Creates a selector.
     *
     * @param random source of randomness
     */
    public ReplicaSelector(RoutingStrategy strategy, RandomGenerator random) {
        this.strategy = strategy;
        this.random = random;
    }

    /**
     * Chooses a replica.
     *
     * @param candidates replicas that accept new attempts
     * @param query properties of the request
     * @param score cost of a candidate according to the policy; the baseline strategies ignore it
     */
    public Optional<Candidate> choose(List<Candidate> candidates, RouteQuery query, ToDoubleFunction<Candidate> score) {
        List<Candidate> eligible = eligible(candidates, query);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        if (!query.key().isEmpty()) {
            return owner(eligible, query.key());
        }
        return switch (strategy) {
            case ADAPTIVE -> adaptive(preferWithCapacity(eligible, query.rank()), query.prefix(), score);
            case LEAST_OF_TWO -> best(sample(eligible, BASELINE_SAMPLE_SIZE), Candidate::load);
            case ROUND_ROBIN -> Optional.of(nextInRotation(eligible));
        };
    }

    /**
     * Returns whether a replica that was not tried yet has, by its last reported load, capacity for one more attempt of
     * the request's rank.
     */
    public static boolean hasRoomElsewhere(List<Candidate> candidates, RouteQuery query) {
        return eligible(candidates, query).stream().anyMatch(candidate -> candidate.hasRoom(query.rank()));
    }

    private static List<Candidate> eligible(List<Candidate> candidates, RouteQuery query) {
        List<Candidate> untried = candidates.stream()
                .filter(candidate -> !query.tried().contains(candidate.server().name()))
                .toList();
        List<Candidate> inOtherDomains = untried.stream()
                .filter(candidate ->
                        !query.triedDomains().contains(candidate.server().failureDomain()))
                .toList();
        return inOtherDomains.isEmpty() ? untried : inOtherDomains;
    }

    /** Chooses the best of a few replicas picked at random and of those that may have a prefix of the prompt cached. */
    private Optional<Candidate> adaptive(
            List<Candidate> eligible, PromptPrefix prefix, ToDoubleFunction<Candidate> score) {
        Map<String, Double> cached = prefixes.cachedShares(prefix);
        Set<Candidate> considered = new LinkedHashSet<>(sample(eligible, ADAPTIVE_SAMPLE_SIZE));
        eligible.stream()
                .filter(candidate -> cached.containsKey(candidate.server().name()))
                .forEach(considered::add);
        Optional<Candidate> chosen = best(
                considered,
                candidate -> score.applyAsDouble(candidate)
                        - CACHED_PROMPT_BONUS
                                * cached.getOrDefault(candidate.server().name(), 0.0));
        chosen.ifPresent(
                candidate -> prefixes.recordPlacement(prefix, candidate.server().name()));
        return chosen;
    }

    /**
     * Returns the candidates with capacity for the rank, or all if none has: load reports lag behind, and the sidecar
     * decides.
     */
    private static List<Candidate> preferWithCapacity(List<Candidate> eligible, int rank) {
        List<Candidate> withCapacity =
                eligible.stream().filter(candidate -> candidate.hasRoom(rank)).toList();
        return withCapacity.isEmpty() ? eligible : withCapacity;
    }

    private List<Candidate> sample(List<Candidate> eligible, int size) {
        List<Candidate> remaining = new ArrayList<>(eligible);
        List<Candidate> sample = new ArrayList<>();
        while (sample.size() < size && !remaining.isEmpty()) {
            sample.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return sample;
    }

    private static Optional<Candidate> best(Collection<Candidate> sample, ToDoubleFunction<Candidate> score) {
        return sample.stream().min(Comparator.comparingDouble(score));
    }

    private Candidate nextInRotation(List<Candidate> eligible) {
        List<Candidate> byName = eligible.stream()
                .sorted(Comparator.comparing(candidate -> candidate.server().name()))
                .toList();
        return byName.get(Math.floorMod(nextIndex.getAndIncrement(), byName.size()));
    }

    private static Optional<Candidate> owner(List<Candidate> eligible, String key) {
        Set<String> names =
                eligible.stream().map(candidate -> candidate.server().name()).collect(Collectors.toSet());
        String first = RendezvousHash.order(key, names).get(0);
        return eligible.stream()
                .filter(candidate -> candidate.server().name().equals(first))
                .findFirst();
    }
}
