package org.streamring.direct.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.kernel.suspect.RequestDigester;
import org.streamring.kernel.suspect.RequestTraits;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.model.route.PrepaidAccount;

/** Computes digests of callers' requests as soon as the secret for them was read. Confined to the event loop. */
public final class RequestDigests {
    private final Supplier<Optional<byte[]>> secret;
    private @Nullable RequestDigester digester;

    /**
     * Creates a source of digests.
     *
     * @param secret secret shared by all entries; empty until it was read
     */
    public RequestDigests(Supplier<Optional<byte[]>> secret) {
        this.secret = secret;
    }

    /**
     * Returns the traits of a request; empty until the secret was read.
     *
     * @param promptParts identifiers of the parts of its prompt that other prompts may share
     */
    Optional<RequestTraits> of(CallerRequest request, List<String> promptParts, Optional<PrepaidAccount> account) {
        if (digester == null) {
            digester = secret.get().map(RequestDigester::new).orElse(null);
        }
        String name = account.map(PrepaidAccount::name).orElse("");
        return Optional.ofNullable(digester).map(each -> traits(each, request, promptParts, name));
    }

    private static RequestTraits traits(
            RequestDigester digester, CallerRequest request, List<String> promptParts, String account) {
        List<SuspectId> parts =
                promptParts.stream().map(digester::digestOfPromptPart).toList();
        return new RequestTraits(
                digester.digest(request.target(), account, request.body()), parts, digester.digestOfAccount(account));
    }
}
