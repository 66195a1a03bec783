package org.streamring.entry.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.Set;
import org.streamring.entry.caller.Call;
import org.streamring.entry.caller.ModelCall;
import org.streamring.entry.caller.RefusedException;
import org.streamring.entry.config.PolicyRegistry;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyDecision;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.policy.PolicyInput;
import org.streamring.kernel.routing.PromptPrefix;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.ServiceDeclaration;
import org.streamring.model.declaration.ServiceKind;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/**
 * Decides whether a call may run and determines the most tokens that it may spend. Each request is decided by a single
 * version of the configuration.
 */
public final class RequestAdmitter {
    private static final Set<String> MODEL_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final String SERVICE_PATH_PREFIX = "/services/";
    private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);

    private final AccountIndex index;
    private final PolicyRegistry policies;

    /** Creates an admitter. */
    public RequestAdmitter(AccountIndex index, PolicyRegistry policies) {
        this.index = index;
        this.policies = policies;
    }

    /**
     * Returns the client account that the call's key belongs to.
     *
     * @throws RefusedException if the key belongs to no client account
     */
    String authenticate(Call call) throws RefusedException {
        return index.accountOf(call.accountKey())
                .orElseThrow(() -> refused(RefusalReason.UNKNOWN_KEY, "the key belongs to no client account"));
    }

    /**
     * Admits a call of an authenticated client account.
     *
     * @throws RefusedException if the call is not valid or not allowed
     */
    AdmittedRequest admit(String requestId, String account, Call call) throws RefusedException {
        PolicyRegistry.Snapshot snapshot = policies.current();
        Declarations declarations = snapshot.declarations();
        AccountDeclaration declared = declarations.accounts().get(account);
        if (declared == null) {
            throw refused(RefusalReason.UNKNOWN_KEY, "the client account was removed");
        }
        String path = call.path().split("\\?", 2)[0];
        if (MODEL_PATHS.contains(path)) {
            return admitModel(requestId, account, declared, call, snapshot);
        }
        if (path.startsWith(SERVICE_PATH_PREFIX)) {
            return admitPlain(requestId, account, declared, call, snapshot);
        }
        throw refused(
                RefusalReason.UNKNOWN_SERVICE,
                "supported paths are " + MODEL_PATHS + " and " + SERVICE_PATH_PREFIX + "{service}/");
    }

    private AdmittedRequest admitModel(
            String requestId, String account, AccountDeclaration declared, Call call, PolicyRegistry.Snapshot snapshot)
            throws RefusedException {
        if (!call.method().equals("POST")) {
            throw refused(RefusalReason.BAD_REQUEST, "calls of a model must use POST");
        }
        ModelCall model = ModelCall.parse(call.body().toByteArray());
        String name = index.serviceOf(model.model())
                .orElseThrow(() -> refused(RefusalReason.UNKNOWN_SERVICE, "no service offers model " + model.model()));
        ServiceDeclaration service = allowedService(name, declared, snapshot.declarations());
        long prompt = model.promptBound(service);
        long answer = model.answerBound(service);
        PolicyInput input = PolicyInput.of(
                account, declared, name, snapshot.declarations().classes(), prompt, answer, !call.notRepeatable());
        CompiledPolicy policy = snapshot.policy(service.policy());
        int rank = rankOf(policy, input);
        return new AdmittedRequest(
                requestId,
                requestKey(account, call, requestId),
                call.idempotencyKey().isPresent(),
                call,
                account,
                input,
                policy,
                rank,
                prompt + answer,
                0,
                true,
                model.stream(),
                model.showUsage(),
                needsClaim(call, service, input.repeatable()),
                call.path(),
                model.forwardedBody(service, rank),
                bodyHash(call),
                PromptPrefix.of(model.promptText()),
                call.deadline().orElse(DEFAULT_DEADLINE));
    }

    private AdmittedRequest admitPlain(
            String requestId, String account, AccountDeclaration declared, Call call, PolicyRegistry.Snapshot snapshot)
            throws RefusedException {
        String servicePath = call.path().substring(SERVICE_PATH_PREFIX.length());
        int slash = servicePath.indexOf('/');
        String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
        String path = slash < 0 ? "/" : servicePath.substring(slash);
        ServiceDeclaration service = allowedService(name, declared, snapshot.declarations());
        if (service.kind() != ServiceKind.PLAIN) {
            throw refused(RefusalReason.UNKNOWN_SERVICE, name + " is a model service; call it by its model name");
        }
        boolean repeatable = !call.notRepeatable() && !service.marksNotRepeatable(call.method(), path);
        PolicyInput input = PolicyInput.of(
                account, declared, name, snapshot.declarations().classes(), 0, service.callTokens(), repeatable);
        CompiledPolicy policy = snapshot.policy(service.policy());
        return new AdmittedRequest(
                requestId,
                requestKey(account, call, requestId),
                call.idempotencyKey().isPresent(),
                call,
                account,
                input,
                policy,
                rankOf(policy, input),
                service.callTokens(),
                service.callTokens(),
                false,
                false,
                false,
                needsClaim(call, service, repeatable),
                path,
                call.body(),
                bodyHash(call),
                PromptPrefix.NONE,
                call.deadline().orElse(DEFAULT_DEADLINE));
    }

    private static ServiceDeclaration allowedService(String name, AccountDeclaration account, Declarations declarations)
            throws RefusedException {
        ServiceDeclaration service = declarations.services().get(name);
        if (service == null || !account.services().contains(name)) {
            throw refused(RefusalReason.UNKNOWN_SERVICE, "the client account may use " + account.services());
        }
        return service;
    }

    private static int rankOf(CompiledPolicy policy, PolicyInput input) throws RefusedException {
        try {
            PolicyDecision decision = PolicyDecision.of(policy, input);
            if (!decision.admitted()) {
                throw refused(
                        RefusalReason.NOT_ALLOWED,
                        "the policy of service " + input.service() + " does not admit this request");
            }
            return decision.rank();
        } catch (PolicyException e) {
            throw refused(RefusalReason.NOT_ALLOWED, "the policy could not be evaluated: " + e.getMessage());
        }
    }

    private static String requestKey(String account, Call call, String requestId) {
        return account + "/" + call.idempotencyKey().orElse("~" + requestId);
    }

    /**
     * Returns whether the request must be claimed before it is forwarded. Without an identifier from the caller no
     * other entry can receive the same request, so no claim is needed.
     */
    private static boolean needsClaim(Call call, ServiceDeclaration service, boolean repeatable) {
        return call.idempotencyKey().isPresent() && (!repeatable || service.claimKeyed());
    }

    private static String bodyHash(Call call) {
        return AccountIndex.sha256(
                call.method().getBytes(UTF_8),
                call.path().getBytes(UTF_8),
                call.body().toByteArray());
    }

    private static RefusedException refused(RefusalReason reason, String message) {
        return new RefusedException(Refusal.of(reason, message));
    }
}
