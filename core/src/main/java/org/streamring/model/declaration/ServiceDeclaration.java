package org.streamring.model.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A service and how requests to it are treated.
 *
 * @param kind model engine or plain service
 * @param models model names that callers use; for {@link ServiceKind#MODEL} only
 * @param policy name of the policy that admits and routes; empty for the built-in one
 * @param contextTokens most prompt tokens that the engine accepts
 * @param answerTokens answer limit written into requests that carry none
 * @param callTokens tokens charged per call of a plain service
 * @param notRepeatable {@code METHOD /path-prefix} patterns of calls that run at most once
 * @param claimKeyed whether repeatable requests with an idempotency key are claimed in the table as well
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

    /** Fills in the documented defaults for values that were left out. */
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

    /** Whether the declaration marks this call as one that runs at most once. */
    public boolean marksNotRepeatable(String method, String path) {
        String call = method + " " + path;
        return notRepeatable.stream().anyMatch(call::startsWith);
    }
}
