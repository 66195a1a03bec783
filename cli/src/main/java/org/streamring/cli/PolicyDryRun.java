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

/** Tries declared policies on sample requests, without any process or platform. */
final class PolicyDryRun {
    private final Declarations declarations;
    private final Map<String, CompiledPolicy> policies;

    PolicyDryRun(Declarations declarations, Map<String, CompiledPolicy> policies) {
        this.declarations = declarations;
        this.policies = policies;
    }

    /**
     * What the policy makes of one sample.
     *
     * @param decision whether it is admitted, and its rank
     * @param ranking candidates by score, the one that would win first
     * @param unmet expectations that do not hold, in words
     */
    record Verdict(PolicyDecision decision, List<Scored> ranking, List<String> unmet) {}

    /**
     * A candidate with its score.
     *
     * @param name backend server
     * @param score its cost; the lowest wins
     */
    record Scored(String name, double score) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s=%.3f", name, score);
        }
    }

    Verdict decide(PolicySamples.Request sample, List<PolicySamples.Candidate> candidates) throws PolicyException {
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
        List<Scored> ranking = decision.admitted() ? rank(policy, input, candidates) : List.of();
        return new Verdict(decision, ranking, unmet(sample, decision, ranking));
    }

    private CompiledPolicy policyOf(ServiceDeclaration service) {
        return policies.getOrDefault(service.policy(), new BuiltInPolicy());
    }

    private static List<Scored> rank(CompiledPolicy policy, PolicyInput input, List<PolicySamples.Candidate> candidates)
            throws PolicyException {
        List<Scored> scored = new ArrayList<>();
        for (PolicySamples.Candidate candidate : candidates) {
            CandidateInput seen = new CandidateInput(
                    candidate.name(), candidate.failureDomain(), candidate.sameDomain(), candidate.load());
            scored.add(new Scored(candidate.name(), policy.score(input, seen)));
        }
        scored.sort(Comparator.comparingDouble(Scored::score));
        return scored;
    }

    private static List<String> unmet(PolicySamples.Request sample, PolicyDecision decision, List<Scored> ranking) {
        List<String> unmet = new ArrayList<>();
        sample.expectAdmit()
                .filter(expected -> expected != decision.admitted())
                .ifPresent(expected -> unmet.add("admit should be " + expected));
        sample.expectRank()
                .filter(expected -> !decision.admitted() || expected != decision.rank())
                .ifPresent(expected -> unmet.add("rank should be " + expected));
        sample.expectFirst()
                .filter(expected -> ranking.isEmpty() || !ranking.get(0).name().equals(expected))
                .ifPresent(expected -> unmet.add("first should be " + expected));
        return unmet;
    }
}
