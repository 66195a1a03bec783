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
 * Chooses a replica: the best of a few drawn at random, so that late reports do not send everything to the same one. A
 * replica that may have the beginning of the prompt cached is considered as well, and may be somewhat busier. A request
 * with an identifier of its caller's goes to the replicas that all entries would try first for it.
 */
public final class ReplicaSelector {
    private static final int SAMPLE = 3;
    private static final int SAMPLE_OF_BASELINE = 2;
    /** How much busier a replica may be, as a part of its capacity, if it has a whole prompt cached. */
    private static final double WORTH_OF_CACHED_PROMPT = 0.3;

    private final RoutingStrategy strategy;
    private final RandomGenerator random;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final AtomicInteger turn = new AtomicInteger();

    /**
     * Creates one.
     *
     * @param random source of randomness
     */
    public ReplicaSelector(RoutingStrategy strategy, RandomGenerator random) {
        this.strategy = strategy;
        this.random = random;
    }

    /**
     * Chooses.
     *
     * @param candidates replicas that take work
     * @param query what is looked for
     * @param score cost of a candidate by the policy; baselines do without it
     */
    public Optional<Candidate> choose(List<Candidate> candidates, RouteQuery query, ToDoubleFunction<Candidate> score) {
        List<Candidate> pool = pool(candidates, query);
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        if (!query.key().isEmpty()) {
            return owner(pool, query.key());
        }
        return switch (strategy) {
            case ADAPTIVE -> adaptive(withRoom(pool, query.rank()), query.prefix(), score);
            case LEAST_OF_TWO -> best(sample(pool, SAMPLE_OF_BASELINE), Candidate::load);
            case ROUND_ROBIN -> Optional.of(next(pool));
        };
    }

    /** Whether a replica that was not tried is believed to have room for one more of the request's rank. */
    public static boolean hasRoomElsewhere(List<Candidate> candidates, RouteQuery query) {
        return pool(candidates, query).stream().anyMatch(candidate -> candidate.hasRoom(query.rank()));
    }

    private static List<Candidate> pool(List<Candidate> candidates, RouteQuery query) {
        List<Candidate> left = candidates.stream()
                .filter(candidate -> !query.tried().contains(candidate.server().name()))
                .toList();
        List<Candidate> elsewhere = left.stream()
                .filter(candidate ->
                        !query.triedDomains().contains(candidate.server().failureDomain()))
                .toList();
        return elsewhere.isEmpty() ? left : elsewhere;
    }

    /** The best of a few drawn at random and of those that may have the prompt's beginning cached. */
    private Optional<Candidate> adaptive(List<Candidate> pool, PromptPrefix prefix, ToDoubleFunction<Candidate> score) {
        Map<String, Double> cached = prefixes.shares(prefix);
        Set<Candidate> considered = new LinkedHashSet<>(sample(pool, SAMPLE));
        pool.stream()
                .filter(candidate -> cached.containsKey(candidate.server().name()))
                .forEach(considered::add);
        Optional<Candidate> chosen = best(
                considered,
                candidate -> score.applyAsDouble(candidate)
                        - WORTH_OF_CACHED_PROMPT
                                * cached.getOrDefault(candidate.server().name(), 0.0));
        chosen.ifPresent(candidate -> prefixes.placed(prefix, candidate.server().name()));
        return chosen;
    }

    /** If none is believed to have room, any may be asked: reports lag, and its sidecar decides. */
    private static List<Candidate> withRoom(List<Candidate> pool, int rank) {
        List<Candidate> free =
                pool.stream().filter(candidate -> candidate.hasRoom(rank)).toList();
        return free.isEmpty() ? pool : free;
    }

    private List<Candidate> sample(List<Candidate> pool, int size) {
        List<Candidate> rest = new ArrayList<>(pool);
        List<Candidate> sample = new ArrayList<>();
        while (sample.size() < size && !rest.isEmpty()) {
            sample.add(rest.remove(random.nextInt(rest.size())));
        }
        return sample;
    }

    private static Optional<Candidate> best(Collection<Candidate> sample, ToDoubleFunction<Candidate> score) {
        return sample.stream().min(Comparator.comparingDouble(score));
    }

    private Candidate next(List<Candidate> pool) {
        List<Candidate> byName = pool.stream()
                .sorted(Comparator.comparing(candidate -> candidate.server().name()))
                .toList();
        return byName.get(Math.floorMod(turn.getAndIncrement(), byName.size()));
    }

    private static Optional<Candidate> owner(List<Candidate> pool, String key) {
        Set<String> names =
                pool.stream().map(candidate -> candidate.server().name()).collect(Collectors.toSet());
        String first = RendezvousHash.order(key, names).get(0);
        return pool.stream()
                .filter(candidate -> candidate.server().name().equals(first))
                .findFirst();
    }
}
