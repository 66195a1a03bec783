package org.streamring.policy.cel;

import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.streamring.kernel.policy.BuiltInPolicy;
import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.policy.PolicyInput;

/** A compiled policy. The built-in policy is used in place of an omitted expression. */
final class CelPolicy implements CompiledPolicy {
    private static final BuiltInPolicy BUILT_IN = new BuiltInPolicy();

    private final String name;
    private final Optional<CelRuntime.Program> admit;
    private final Optional<CelRuntime.Program> priority;
    private final Optional<CelRuntime.Program> score;

    CelPolicy(
            String name,
            Optional<CelRuntime.Program> admit,
            Optional<CelRuntime.Program> priority,
            Optional<CelRuntime.Program> score) {
        this.name = name;
        this.admit = admit;
        this.priority = priority;
        this.score = score;
    }

    @Override
    public boolean admits(PolicyInput input) throws PolicyException {
        return admit.isEmpty() || (Boolean) evaluate("admit", admit.get(), requestVariables(input));
    }

    @Override
    public int rank(PolicyInput input) throws PolicyException {
        if (priority.isEmpty()) {
            return BUILT_IN.rank(input);
        }
        long rank = (Long) evaluate("priority", priority.get(), requestVariables(input));
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, rank));
    }

    @Override
    public double score(PolicyInput input, CandidateInput candidate) throws PolicyException {
        if (score.isEmpty()) {
            return BUILT_IN.score(input, candidate);
        }
        Map<String, Object> values = requestVariables(input);
        values.put(Variables.CANDIDATE, candidate.name());
        values.put(Variables.FAILURE_DOMAIN, candidate.failureDomain());
        values.put(Variables.SAME_DOMAIN, candidate.sameDomain());
        values.put(Variables.LOAD, candidate.load());
        return (Double) evaluate("score", score.get(), values);
    }

    private Object evaluate(String expressionName, CelRuntime.Program program, Map<String, Object> values)
            throws PolicyException {
        try {
            return program.eval(values);
        } catch (CelEvaluationException e) {
            throw new PolicyException(name + "." + expressionName, String.valueOf(e.getMessage()));
        }
    }

    private static Map<String, Object> requestVariables(PolicyInput input) {
        Map<String, Object> values = new HashMap<>();
        values.put(Variables.ACCOUNT, input.account());
        values.put(Variables.SERVICE, input.service());
        values.put(Variables.PRIORITY_CLASS, input.priorityClass());
        values.put(Variables.RANK, (long) input.rank());
        values.put(Variables.PROMPT_TOKENS, input.promptTokens());
        values.put(Variables.ANSWER_TOKENS, input.answerTokens());
        values.put(Variables.BUDGET, input.budget());
        values.put(Variables.REPEATABLE, input.repeatable());
        return values;
    }
}
