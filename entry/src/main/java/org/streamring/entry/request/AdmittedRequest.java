package org.streamring.entry.request;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.streamring.entry.caller.Call;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyInput;
import org.streamring.kernel.routing.PromptPrefix;

/**
 * Request that may run, with everything decided about it on admission.
 *
 * @param requestId identifier returned to the caller
 * @param requestKey identifier scoped to the client account
 * @param keyed whether the caller sent the identifier
 * @param call the call
 * @param account client account
 * @param input input to the policy
 * @param policy policy in force when the request was admitted
 * @param rank priority rank
 * @param worstCase most tokens that the request may spend
 * @param callTokens tokens charged for a call of a plain service
 * @param model whether a model engine answers
 * @param stream whether the caller requested a streamed answer
 * @param showUsage whether the caller requested usage in a streamed answer
 * @param claimed whether the request needs a claim before it is forwarded
 * @param path path as forwarded
 * @param body body as forwarded
 * @param bodyHash hash of method, path and body as the caller sent them
 * @param prefix prefix of the prompt, used for routing
 * @param deadline time limit of the request
 */
record AdmittedRequest(
        String requestId,
        String requestKey,
        boolean keyed,
        Call call,
        String account,
        PolicyInput input,
        CompiledPolicy policy,
        int rank,
        long worstCase,
        long callTokens,
        boolean model,
        boolean stream,
        boolean showUsage,
        boolean claimed,
        String path,
        ByteString body,
        String bodyHash,
        PromptPrefix prefix,
        Duration deadline) {

    String service() {
        return input.service();
    }

    String budget() {
        return input.budget();
    }

    boolean repeatable() {
        return input.repeatable();
    }
}
