package org.streamring.kernel.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.streamring.model.box.BackendServer;

/**
 * Table of the replicas in an entry's subset.
 *
 * <p>Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class ReplicaTable {
    private static final int MIN_REPLICAS_TO_COMPARE = 3;

    private final Map<String, Replica> replicas = new HashMap<>();
    private Set<String> stoppedByOperator = Set.of();

    /** Replaces the subset. The recorded state of replicas that remain in it is kept. */
    public synchronized void updateSubset(Collection<BackendServer> subset) {
        Map<String, BackendServer> byName =
                subset.stream().collect(Collectors.toMap(BackendServer::name, server -> server, (a, b) -> b));
        replicas.keySet().retainAll(byName.keySet());
        byName.forEach((name, server) -> {
            Replica replica = replicas.computeIfAbsent(name, key -> new Replica(server));
            replica.updateServer(server);
        });
    }

    /** Sets the backend servers that accept no new attempts by order of an operator. */
    public synchronized void setStoppedByOperator(Set<String> names) {
        stoppedByOperator = Set.copyOf(names);
    }

    /** Records that a sidecar has connected with the given incarnation. */
    public synchronized void connected(String name, String incarnation) {
        find(name).ifPresent(replica -> replica.connected(incarnation));
    }

    /** Records that the connection to a sidecar is closed. */
    public synchronized void disconnected(String name) {
        find(name).ifPresent(Replica::disconnected);
    }

    /** Records the load that a sidecar has reported. */
    public synchronized void reported(String name, LoadReport report) {
        find(name).ifPresent(replica -> replica.report(report));
    }

    /** Records that an attempt was sent to a replica. */
    public synchronized void started(String name) {
        find(name).ifPresent(Replica::started);
    }

    /** Records that an attempt at a replica has ended. */
    public synchronized void ended(String name, AttemptResult result, long nowMillis) {
        find(name).ifPresent(replica -> replica.ended(result, nowMillis));
    }

    /** Records the time that a replica took for a unit of work: a token of a stream, or a call of a plain service. */
    public synchronized void recordServiceTime(String name, double millisPerUnit, long nowMillis) {
        find(name).ifPresent(replica -> replica.serviceTime().add(millisPerUnit, nowMillis));
    }

    private Optional<Replica> find(String name) {
        return Optional.ofNullable(replicas.get(name));
    }

    /** Returns the incarnation of a connected sidecar; empty if it is not connected. */
    public synchronized Optional<String> incarnationOf(String name) {
        return find(name).map(Replica::incarnation).filter(incarnation -> !incarnation.isEmpty());
    }

    /**
     * Returns the replicas of a service that accept new attempts now. Ejected replicas are left out, unless that would
     * leave out more than half: in that case the cause is more likely to be the requests or the network than single
     * replicas.
     */
    public synchronized List<Candidate> candidates(String service, Predicate<String> mayUse, long nowMillis) {
        List<Replica> available = replicas.values().stream()
                .filter(replica -> replica.server().service().equals(service))
                .filter(Replica::available)
                .filter(replica -> !stoppedByOperator.contains(replica.server().name()))
                .filter(replica -> mayUse.test(replica.incarnation()))
                .toList();
        List<Replica> sound = available.stream()
                .filter(replica -> !replica.ejected(nowMillis))
                .toList();
        List<Replica> selected = 2 * sound.size() < available.size() ? available : sound;
        double typicalMillisPerUnit = typicalMillisPerUnit(selected);
        return selected.stream()
                .map(replica -> replica.candidate(typicalMillisPerUnit, nowMillis))
                .toList();
    }

    /**
     * Returns the median time per unit of work, which a few slow replicas do not shift; 0 if fewer than
     * {@value #MIN_REPLICAS_TO_COMPARE} replicas have enough samples.
     */
    private static double typicalMillisPerUnit(List<Replica> compared) {
        double[] sortedMillisPerUnit = compared.stream()
                .map(Replica::serviceTime)
                .filter(AverageServiceTime::hasEnoughSamples)
                .mapToDouble(AverageServiceTime::millisPerUnit)
                .sorted()
                .toArray();
        return sortedMillisPerUnit.length < MIN_REPLICAS_TO_COMPARE
                ? 0
                : sortedMillisPerUnit[(sortedMillisPerUnit.length - 1) / 2];
    }

    /** Returns whether any replica of a service is in the subset, even if it accepts no new attempts. */
    public synchronized boolean serves(String service) {
        return replicas.values().stream()
                .anyMatch(replica -> replica.server().service().equals(service));
    }

    /** Returns all replicas in the subset. */
    public synchronized List<BackendServer> backendServers() {
        return replicas.values().stream().map(Replica::server).toList();
    }
}
