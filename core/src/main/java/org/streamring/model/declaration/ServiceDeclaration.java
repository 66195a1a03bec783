package org.streamring.model.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Declaration of a service and of the handling of its requests.
 *
 * @param kind kind of the service: model engine or plain service
 * @param models model names in requests; only for {@link ServiceKind#MODEL}
 * @param policy name of the policy for admission and routing; empty for the built-in policy
 * @param contextTokens maximum number of prompt tokens that the engine accepts
 * @param answerTokens limit on answer tokens that is set in requests without one
 * @param callTokens number of tokens charged per call of a plain service
 * @param notRepeatable {@code METHOD /path-prefix} patterns of calls that run at most once
 * @param claimKeyed whether repeatable requests with an idempotency key are also bound to a sidecar by a claim in the
 *     table
 */
public record ServiceDeclaration(
        ServiceKind kind,
        List<String> models,
        String policy,
        int contextTokens,
        int answerTokens,
        int callTokens,
        List<String> notRepeatable,
        boolean claimKeyed) {

    private static final int DEFAULT_CONTEXT_TOKENS = 8192;
    private static final int DEFAULT_ANSWER_TOKENS = 512;

    /** Creates a declaration, with the documented defaults for missing values. */
    public ServiceDeclaration(
            @Nullable ServiceKind kind,
            @Nullable List<String> models,
            @Nullable String policy,
            int contextTokens,
            int answerTokens,
            int callTokens,
            @Nullable List<String> notRepeatable,
            boolean claimKeyed) {
        this.kind = kind == null ? ServiceKind.PLAIN : kind;
        this.models = Defaults.list(models);
        this.policy = Defaults.text(policy, "");
        this.contextTokens = Defaults.positive(contextTokens, DEFAULT_CONTEXT_TOKENS);
        this.answerTokens = Defaults.positive(answerTokens, DEFAULT_ANSWER_TOKENS);
        this.callTokens = callTokens;
        this.notRepeatable = Defaults.list(notRepeatable);
        this.claimKeyed = claimKeyed;
    }

    /** Returns whether the call matches one of the patterns of calls that run at most once. */
    public boolean marksNotRepeatable(String method, String path) {
        String call = method + " " + path;
        return notRepeatable.stream().anyMatch(call::startsWith);
    }
}
