package org.streamring.entry.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.streamring.kernel.once.ClaimRecord;
import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.routing.Candidate;
import org.streamring.kernel.routing.ReplicaSelector;
import org.streamring.kernel.routing.RouteQuery;

/** Chooses backend servers for the attempts of one request. Guarded by the lock of its {@link RunningRequest}. */
final class RouteFinder {
    private static final int MAX_ATTEMPTS = 3;

    private final RequestServices services;
    private final Set<String> triedServers = new HashSet<>();
    private final Set<String> triedDomains = new HashSet<>();
    private int attempts;

    RouteFinder(RequestServices services) {
        this.services = services;
    }

    /**
     * Chooses a backend server for the next attempt.
     *
     * @param mayUse tests whether a sidecar incarnation may be given the request
     */
    Optional<Candidate> choose(AdmittedRequest request, Predicate<String> mayUse, long nowMillis) {
        return services.selector()
                .choose(candidates(request, mayUse, nowMillis), query(request), candidate -> score(request, candidate));
    }

    /**
     * Returns whether a server that was not tried has free capacity for the request, according to its last reported
     * state.
     */
    boolean hasRoomElsewhere(AdmittedRequest request, Predicate<String> mayUse, long nowMillis) {
        return ReplicaSelector.hasRoomElsewhere(candidates(request, mayUse, nowMillis), query(request));
    }

    private List<Candidate> candidates(AdmittedRequest request, Predicate<String> mayUse, long nowMillis) {
        return services.replicas().candidates(request.service(), mayUse, nowMillis);
    }

    private RouteQuery query(AdmittedRequest request) {
        return new RouteQuery(
                triedServers,
                triedDomains,
                request.keyed() ? request.requestKey() : "",
                request.rank(),
                request.prefix());
    }

    private double score(AdmittedRequest request, Candidate candidate) {
        CandidateInput input = new CandidateInput(
                candidate.server().name(),
                candidate.server().failureDomain(),
                candidate.server().failureDomain().equals(services.failureDomain()),
                candidate.cost());
        try {
            return request.policy().score(request.input(), input);
        } catch (PolicyException e) {
            return candidate.cost();
        }
    }

    /** Returns the server that a claim names, if its sidecar is connected under the incarnation in the claim. */
    Optional<Candidate> namedBy(ClaimRecord claim) {
        boolean connected = services.links()
                .incarnationOf(claim.sidecar())
                .filter(claim.sidecarIncarnation()::equals)
                .isPresent();
        return services.replicas().backendServers().stream()
                .filter(server -> connected && server.name().equals(claim.sidecar()))
                .map(server -> new Candidate(server, claim.sidecarIncarnation(), 0, 1, 1))
                .findFirst();
    }

    /** Records an attempt. Later attempts avoid its failure domain if another one is available. */
    void recordAttempt(Candidate candidate) {
        attempts++;
        triedServers.add(candidate.server().name());
        triedDomains.add(candidate.server().failureDomain());
    }

    boolean attemptsLeft() {
        return attempts < MAX_ATTEMPTS;
    }
}
