package org.streamring.direct.request;

import java.util.List;
import java.util.Optional;
import org.streamring.direct.caller.CallerRequest;
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
 * @param affinity what prompts that begin alike have in common; empty if there is nothing
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
        String affinity,
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
        return new RequestPlan(
                id,
                route,
                service,
                account,
                Math.max(0, Math.min(9, rank)),
                TokenUse.parse(request.headers().get(names.tokens())),
                affinityOf(request, names),
                request.arrivedMillis() + held,
                wait);
    }

    long promptTokens() {
        return tokens.map(TokenUse::prompt).orElse(0L);
    }

    Optional<String> prepaidAccount() {
        return account.filter(each -> each.prepaid().isPresent()).map(PrepaidAccount::name);
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

    /** The last part of a prompt is its own; those before it are shared. */
    private static String affinityOf(CallerRequest request, ForwardingHeaders names) {
        String header = request.headers().get(names.promptParts());
        if (header == null || header.isEmpty()) {
            return "";
        }
        List<String> parts = List.of(header.split(",", -1));
        String last = parts.get(Math.max(0, parts.size() - 2)).trim();
        int colon = last.indexOf(':');
        return colon < 0 ? last : last.substring(0, colon);
    }
}
