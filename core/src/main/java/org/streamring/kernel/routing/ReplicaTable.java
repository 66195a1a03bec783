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
 * The replicas in an entry's subset.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class ReplicaTable {
    private static final int FEWEST_TO_COMPARE = 3;

    private final Map<String, Replica> replicas = new HashMap<>();
    private Set<String> stoppedByOperator = Set.of();

    /** Replaces the subset; what is known of replicas that stay is kept. */
    public synchronized void relist(Collection<BackendServer> subset) {
        Map<String, BackendServer> byName =
                subset.stream().collect(Collectors.toMap(BackendServer::name, server -> server, (a, b) -> b));
        replicas.keySet().retainAll(byName.keySet());
        byName.forEach((name, server) -> {
            Replica replica = replicas.computeIfAbsent(name, key -> new Replica(server));
            replica.relist(server);
        });
    }

    /** Sets the backend servers that an operator has ordered to take no new work. */
    public synchronized void setStoppedByOperator(Set<String> names) {
        stoppedByOperator = Set.copyOf(names);
    }

    /** A sidecar has connected and named its incarnation. */
    public synchronized void connected(String name, String incarnation) {
        find(name).ifPresent(replica -> replica.connected(incarnation));
    }

    /** A sidecar's connection is gone. */
    public synchronized void disconnected(String name) {
        find(name).ifPresent(Replica::disconnected);
    }

    /** A sidecar has reported its load. */
    public synchronized void reported(String name, LoadReport report) {
        find(name).ifPresent(replica -> replica.report(report));
    }

    /** A request was sent. */
    public synchronized void started(String name) {
        find(name).ifPresent(Replica::started);
    }

    /** An attempt has ended. */
    public synchronized void ended(String name, AttemptResult result, long nowMillis) {
        find(name).ifPresent(replica -> replica.ended(result, nowMillis));
    }

    /** A unit of work, a token or a plain call, has taken so long. */
    public synchronized void paced(String name, double millisPerUnit, long nowMillis) {
        find(name).ifPresent(replica -> replica.pace().add(millisPerUnit, nowMillis));
    }

    private Optional<Replica> find(String name) {
        return Optional.ofNullable(replicas.get(name));
    }

    /** Incarnation of a connected sidecar. */
    public synchronized Optional<String> incarnationOf(String name) {
        return find(name).map(Replica::incarnation).filter(incarnation -> !incarnation.isEmpty());
    }

    /**
     * Replicas of a service that take work now. Those that failed are left out, unless that would leave out more than
     * half: then the failures say more about the requests or the network than about single replicas.
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
        List<Replica> taking = 2 * sound.size() < available.size() ? available : sound;
        double typicalPace = typicalPace(taking);
        return taking.stream()
                .map(replica -> replica.candidate(typicalPace, nowMillis))
                .toList();
    }

    /** The median, so that a few slow ones do not shift it; 0 if too few are known to compare with. */
    private static double typicalPace(List<Replica> compared) {
        double[] known = compared.stream()
                .map(Replica::pace)
                .filter(Pace::known)
                .mapToDouble(Pace::millisPerUnit)
                .sorted()
                .toArray();
        return known.length < FEWEST_TO_COMPARE ? 0 : known[(known.length - 1) / 2];
    }

    /** Whether any replica of a service is listed, taking work or not. */
    public synchronized boolean serves(String service) {
        return replicas.values().stream()
                .anyMatch(replica -> replica.server().service().equals(service));
    }

    /** All replicas in the subset. */
    public synchronized List<BackendServer> listed() {
        return replicas.values().stream().map(Replica::server).toList();
    }
}
