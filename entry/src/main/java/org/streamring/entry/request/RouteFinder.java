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

/** Finds backend servers for the tries of one request. Guarded by its {@link RunningRequest}. */
final class RouteFinder {
    private static final int MAX_TRIES = 3;

    private final RequestServices services;
    private final Set<String> triedServers = new HashSet<>();
    private final Set<String> triedDomains = new HashSet<>();
    private int tries;

    RouteFinder(RequestServices services) {
        this.services = services;
    }

    /**
     * Chooses a server for the next try.
     *
     * @param mayUse which sidecar incarnations may be given work
     */
    Optional<Candidate> choose(AdmittedRequest request, Predicate<String> mayUse, long nowMillis) {
        return services.selector()
                .choose(candidates(request, mayUse, nowMillis), query(request), candidate -> score(request, candidate));
    }

    /** Whether a server that was not tried is believed to have room for the request. */
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

    /** The server that a claim names, if its sidecar still is the incarnation named. */
    Optional<Candidate> namedBy(ClaimRecord claim) {
        boolean there = services.links()
                .incarnationOf(claim.sidecar())
                .filter(claim.sidecarIncarnation()::equals)
                .isPresent();
        return services.replicas().listed().stream()
                .filter(server -> there && server.name().equals(claim.sidecar()))
                .map(server -> new Candidate(server, claim.sidecarIncarnation(), 0, 1, 1))
                .findFirst();
    }

    /** Notes a try; its failure domain is avoided from now on, if another one is left. */
    void tried(Candidate candidate) {
        tries++;
        triedServers.add(candidate.server().name());
        triedDomains.add(candidate.server().failureDomain());
    }

    boolean mayTryAgain() {
        return tries < MAX_TRIES;
    }
}
