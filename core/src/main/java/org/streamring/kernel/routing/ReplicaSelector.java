package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Chooses a replica: the best of a few drawn at random, so that late reports do not send everything to the same one. A
 * request with an identifier of its caller's goes to the replicas that all entries would try first for it.
 */
public final class ReplicaSelector {
    private static final int SAMPLE = 3;

    private final RandomGenerator random;

    /**
     * Creates one.
     *
     * @param random source of randomness
     */
    public ReplicaSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses.
     *
     * @param candidates replicas that take work
     * @param tried names of replicas that were tried for this request
     * @param triedDomains their failure domains, which are avoided if another one is left
     * @param key identifier from the caller; empty if there is none
     * @param score cost of a candidate
     */
    public Optional<Candidate> choose(
            List<Candidate> candidates,
            Set<String> tried,
            Set<String> triedDomains,
            String key,
            ToDoubleFunction<Candidate> score) {
        List<Candidate> left = candidates.stream()
                .filter(candidate -> !tried.contains(candidate.server().name()))
                .toList();
        List<Candidate> elsewhere = left.stream()
                .filter(candidate -> !triedDomains.contains(candidate.server().failureDomain()))
                .toList();
        List<Candidate> pool = elsewhere.isEmpty() ? left : elsewhere;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        return key.isEmpty() ? bestOfSample(pool, score) : owner(pool, key);
    }

    private Optional<Candidate> bestOfSample(List<Candidate> pool, ToDoubleFunction<Candidate> score) {
        List<Candidate> rest = new ArrayList<>(pool);
        List<Candidate> sample = new ArrayList<>();
        while (sample.size() < SAMPLE && !rest.isEmpty()) {
            sample.add(rest.remove(random.nextInt(rest.size())));
        }
        return sample.stream().min(Comparator.comparingDouble(score));
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
