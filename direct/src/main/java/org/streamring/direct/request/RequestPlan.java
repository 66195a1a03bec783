package org.streamring.direct.request;

import java.util.Optional;
import java.util.Set;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.Prompt;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.ServiceTraits;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * What is decided about a request when it arrives.
 *
 * @param id identifier given by the caller
 * @param route its route
 * @param service its service
 * @param account its client account, if the route asks for a key
 * @param rank urgency, 0 being the most urgent
 * @param tokens tokens that its caller declares
 * @param prompt its prompt; {@link Prompt#NONE} for a plain request
 * @param deadlineMillis when it must have its final answer, on the process's steady clock
 * @param callerWaitMillis how long the caller waits, from the arrival
 */
record RequestPlan(
        String id,
        Route route,
        ServiceTraits service,
        Optional<PrepaidAccount> account,
        int rank,
        Optional<TokenUse> tokens,
        Prompt prompt,
        long deadlineMillis,
        long callerWaitMillis) {

    static RequestPlan of(
            CallerRequest request,
            Route route,
            ServiceTraits service,
            Optional<PrepaidAccount> account,
            ForwardingHeaders names) {
        String id =
                Optional.ofNullable(request.headers().get(names.requestId())).orElse("");
        long wait = callerWait(request, route, names);
        long held = Math.min(wait, route.timeout().toMillis());
        int rank = account.map(PrepaidAccount::priority)
                .filter(java.util.OptionalInt::isPresent)
                .map(java.util.OptionalInt::getAsInt)
                .orElse(route.priority());
        Optional<TokenUse> tokens = TokenUse.parse(request.headers().get(names.tokens()));
        return new RequestPlan(
                id,
                route,
                service,
                account,
                Math.max(0, Math.min(9, rank)),
                tokens,
                PromptHeader.read(request.headers(), names, tokens),
                request.arrivedMillis() + held,
                wait);
    }

    Optional<String> prepaidAccount() {
        return account.filter(each -> each.prepaid().isPresent()).map(PrepaidAccount::name);
    }

    PlacementQuery placement(String failureDomain, Set<String> excluded) {
        return new PlacementQuery(
                prompt,
                rank,
                route.targetLatency().toMillis(),
                route.targetPause().toMillis(),
                failureDomain,
                excluded);
    }

    private static long callerWait(CallerRequest request, Route route, ForwardingHeaders names) {
        String header = request.headers().get(names.deadline());
        if (header == null) {
            return route.timeout().toMillis();
        }
        try {
            return Math.max(0, Long.parseLong(header.trim()));
        } catch (NumberFormatException e) {
            return route.timeout().toMillis();
        }
    }
}
