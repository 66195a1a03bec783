package org.streamring.entry.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.Set;
import org.streamring.entry.caller.Call;
import org.streamring.entry.caller.ModelCall;
import org.streamring.entry.caller.RefusedException;
import org.streamring.entry.config.PolicyBook;
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

/** Decides whether a call may run, and bounds it. Every request is decided by one version of the configuration. */
public final class RequestAdmitter {
    private static final Set<String> MODEL_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final String SERVICES = "/services/";
    private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);

    private final AccountIndex index;
    private final PolicyBook policies;

    /** Creates one. */
    public RequestAdmitter(AccountIndex index, PolicyBook policies) {
        this.index = index;
        this.policies = policies;
    }

    /** The client account that a call's key belongs to. */
    String authenticate(Call call) throws RefusedException {
        return index.accountOf(call.accountKey())
                .orElseThrow(() -> refused(RefusalReason.UNKNOWN_KEY, "the key belongs to no client account"));
    }

    /** Decides. */
    AdmittedRequest admit(String requestId, String account, Call call) throws RefusedException {
        PolicyBook.Snapshot snapshot = policies.current();
        Declarations declarations = snapshot.declarations();
        AccountDeclaration declared = declarations.accounts().get(account);
        if (declared == null) {
            throw refused(RefusalReason.UNKNOWN_KEY, "the client account was removed");
        }
        String path = call.path().split("\\?", 2)[0];
        if (MODEL_PATHS.contains(path)) {
            return admitModel(requestId, account, declared, call, snapshot);
        }
        if (path.startsWith(SERVICES)) {
            return admitPlain(requestId, account, declared, call, snapshot);
        }
        throw refused(RefusalReason.UNKNOWN_SERVICE, "known are " + MODEL_PATHS + " and " + SERVICES + "{service}/");
    }

    private AdmittedRequest admitModel(
            String requestId, String account, AccountDeclaration declared, Call call, PolicyBook.Snapshot snapshot)
            throws RefusedException {
        if (!call.method().equals("POST")) {
            throw refused(RefusalReason.BAD_REQUEST, "models are asked with POST");
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
        int rank = decide(policy, input);
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
            String requestId, String account, AccountDeclaration declared, Call call, PolicyBook.Snapshot snapshot)
            throws RefusedException {
        String rest = call.path().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceDeclaration service = allowedService(name, declared, snapshot.declarations());
        if (service.kind() != ServiceKind.PLAIN) {
            throw refused(RefusalReason.UNKNOWN_SERVICE, name + " is a model service; ask it by its model");
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
                decide(policy, input),
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

    private static int decide(CompiledPolicy policy, PolicyInput input) throws RefusedException {
        try {
            PolicyDecision decision = PolicyDecision.of(policy, input);
            if (!decision.admitted()) {
                throw refused(RefusalReason.NOT_ALLOWED, "the policy of service " + input.service() + " refuses this");
            }
            return decision.rank();
        } catch (PolicyException e) {
            throw refused(RefusalReason.NOT_ALLOWED, "the policy could not be evaluated: " + e.getMessage());
        }
    }

    private static String requestKey(String account, Call call, String requestId) {
        return account + "/" + call.idempotencyKey().orElse("~" + requestId);
    }

    /** Without an identifier from the caller nobody else can bring the same request, so no claim is needed. */
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
