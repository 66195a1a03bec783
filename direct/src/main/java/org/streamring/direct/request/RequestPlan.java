package org.streamring.direct.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.Prompt;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.ServiceTraits;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * Properties of a request that are determined on its arrival.
 *
 * @param id identifier given by the caller
 * @param route route of the request
 * @param service service of the request
 * @param account client account, if the route requires a key
 * @param rank urgency, 0 being the most urgent
 * @param tokens token counts that the caller declares
 * @param resumed stream that the caller resumes; empty for a new request
 * @param prompt prompt of the request; {@link Prompt#NONE} for a plain request
 * @param sharedPartIds identifiers of the parts of the prompt that other prompts may share
 * @param deadlineMillis deadline of the final answer, on the process's monotonic clock
 * @param callerWaitMillis milliseconds that the caller waits, from the arrival
 * @param resumeMillis milliseconds within which the caller may resume the stream, from the arrival
 */
record RequestPlan(
        String id,
        Route route,
        ServiceTraits service,
        Optional<PrepaidAccount> account,
        int rank,
        Optional<DeclaredTokens> tokens,
        Optional<ResumedStream> resumed,
        Prompt prompt,
        List<String> sharedPartIds,
        long deadlineMillis,
        long callerWaitMillis,
        long resumeMillis) {

    static RequestPlan of(
            CallerRequest request,
            Route route,
            ServiceTraits service,
            Optional<PrepaidAccount> account,
            ForwardingHeaders names) {
        String id =
                Optional.ofNullable(request.headers().get(names.requestId())).orElse("");
        long waitMillis = callerWait(request, route, names);
        long timeoutMillis = Math.min(waitMillis, route.timeout().toMillis());
        int rank = account.map(PrepaidAccount::priority)
                .filter(java.util.OptionalInt::isPresent)
                .map(java.util.OptionalInt::getAsInt)
                .orElse(route.priority());
        Optional<DeclaredTokens> tokens = DeclaredTokens.parse(request.headers().get(names.tokens()));
        return new RequestPlan(
                id,
                route,
                service,
                account,
                Math.max(0, Math.min(9, rank)),
                tokens,
                ResumedStream.of(request.headers(), names),
                PromptHeader.read(request.headers(), names, tokens),
                PromptHeader.sharedPartIds(request.headers(), names),
                request.arrivedMillis() + timeoutMillis,
                waitMillis,
                resumePeriod(request, route, names));
    }

    Optional<String> prepaidAccount() {
        return account.filter(each -> each.prepaid().isPresent()).map(PrepaidAccount::name);
    }

    /** Returns the name of the client account; empty if the route needs none. */
    String accountName() {
        return account.map(PrepaidAccount::name).orElse("");
    }

    PlacementQuery placement(String failureDomain, Set<String> excluded, Optional<String> softwareVersion) {
        return new PlacementQuery(
                prompt,
                rank,
                route.targetLatency().toMillis(),
                route.targetPause().toMillis(),
                failureDomain,
                excluded,
                softwareVersion);
    }

    /** Returns the time for which the caller waits from the arrival of its request, in milliseconds. */
    static long callerWait(CallerRequest request, Route route, ForwardingHeaders names) {
        return namedWait(request, names).orElse(route.timeout().toMillis());
    }

    /**
     * Returns the time from the arrival of a request within which its caller may resume the stream, in milliseconds. A
     * caller that names no deadline may also resume a stream that the route's timeout has ended.
     */
    static long resumePeriod(CallerRequest request, Route route, ForwardingHeaders names) {
        return namedWait(request, names).orElse(2 * route.timeout().toMillis());
    }

    private static OptionalLong namedWait(CallerRequest request, ForwardingHeaders names) {
        String header = request.headers().get(names.deadline());
        if (header == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Math.max(0, Long.parseLong(header.trim())));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
