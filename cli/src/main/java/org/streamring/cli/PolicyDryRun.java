package org.streamring.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.streamring.kernel.policy.BuiltInPolicy;
import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyDecision;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.policy.PolicyInput;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.ServiceDeclaration;

/** Evaluates declared policies on sample requests, without access to a platform or other processes. */
final class PolicyDryRun {
    private final Declarations declarations;
    private final Map<String, CompiledPolicy> policies;

    PolicyDryRun(Declarations declarations, Map<String, CompiledPolicy> policies) {
        this.declarations = declarations;
        this.policies = policies;
    }

    /**
     * The result of a policy for one sample request.
     *
     * @param decision whether the request is admitted, and its rank
     * @param ranking candidates by ascending score; the first one would be selected
     * @param unmetExpectations descriptions of the expectations that are not met
     */
    record SampleResult(PolicyDecision decision, List<ScoredCandidate> ranking, List<String> unmetExpectations) {}

    /**
     * A candidate and its score.
     *
     * @param name backend server
     * @param score cost of the backend server; the lowest is selected
     */
    record ScoredCandidate(String name, double score) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s=%.3f", name, score);
        }
    }

    SampleResult evaluate(PolicySamples.Request sample, List<PolicySamples.Candidate> candidates)
            throws PolicyException {
        CompiledPolicy policy = policyOf(declarations.services().get(sample.service()));
        PolicyInput input = PolicyInput.of(
                sample.account(),
                declarations.accounts().get(sample.account()),
                sample.service(),
                declarations.classes(),
                sample.promptTokens(),
                sample.answerTokens(),
                !sample.notRepeatable());
        PolicyDecision decision = PolicyDecision.of(policy, input);
        List<ScoredCandidate> ranking = decision.admitted() ? rank(policy, input, candidates) : List.of();
        return new SampleResult(decision, ranking, unmetExpectations(sample, decision, ranking));
    }

    private CompiledPolicy policyOf(ServiceDeclaration service) {
        return policies.getOrDefault(service.policy(), new BuiltInPolicy());
    }

    private static List<ScoredCandidate> rank(
            CompiledPolicy policy, PolicyInput input, List<PolicySamples.Candidate> candidates) throws PolicyException {
        List<ScoredCandidate> scored = new ArrayList<>();
        for (PolicySamples.Candidate candidate : candidates) {
            CandidateInput candidateInput = new CandidateInput(
                    candidate.name(), candidate.failureDomain(), candidate.sameDomain(), candidate.load());
            scored.add(new ScoredCandidate(candidate.name(), policy.score(input, candidateInput)));
        }
        scored.sort(Comparator.comparingDouble(ScoredCandidate::score));
        return scored;
    }

    private static List<String> unmetExpectations(
            PolicySamples.Request sample, PolicyDecision decision, List<ScoredCandidate> ranking) {
        List<String> unmetExpectations = new ArrayList<>();
        sample.expectAdmit()
                .filter(expected -> expected != decision.admitted())
                .ifPresent(expected -> unmetExpectations.add("admit should be " + expected));
        sample.expectRank()
                .filter(expected -> !decision.admitted() || expected != decision.rank())
                .ifPresent(expected -> unmetExpectations.add("rank should be " + expected));
        sample.expectFirst()
                .filter(expected -> ranking.isEmpty() || !ranking.get(0).name().equals(expected))
                .ifPresent(expected -> unmetExpectations.add("first should be " + expected));
        return unmetExpectations;
    }
}
