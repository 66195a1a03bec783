package org.streamring.kernel.stream;

import java.util.Optional;
import java.util.Set;

/**
 * Decision on a request that resumes a stream.
 *
 * @param outcome why the stream is continued or refused
 * @param origin origin to which the continuation is bound; empty if the request is refused
 */
public record ResumeDecision(Outcome outcome, Optional<StreamOrigin> origin) {
    /** Reasons for a decision. */
    public enum Outcome {
        /** The origin was recorded. */
        RECORDED_ORIGIN,
        /** The origin was not recorded, but only one is possible. */
        ONLY_ORIGIN,
        /** The origin was not recorded, and several are possible. */
        UNKNOWN_ORIGIN,
        /** The stream belongs to another client account. */
        OTHER_ACCOUNT,
        /** The route no longer leads to the service that began the stream. */
        SERVICE_NOT_ROUTED
    }

    /**
     * Decides whether a stream is continued.
     *
     * @param recorded recorded origin of the stream, if any
     * @param only origin of the stream if no other one is possible
     * @param account name of the client account that resumes the stream; empty if the route needs none
     * @param services services to which the route leads
     */
    public static ResumeDecision of(
            Optional<StreamOrigin> recorded, Optional<StreamOrigin> only, String account, Set<String> services) {
        if (recorded.isEmpty()) {
            return only.map(origin -> new ResumeDecision(Outcome.ONLY_ORIGIN, only))
                    .orElseGet(() -> refused(Outcome.UNKNOWN_ORIGIN));
        }
        StreamOrigin origin = recorded.get();
        if (!origin.account().equals(account)) {
            return refused(Outcome.OTHER_ACCOUNT);
        }
        return services.contains(origin.service())
                ? new ResumeDecision(Outcome.RECORDED_ORIGIN, recorded)
                : refused(Outcome.SERVICE_NOT_ROUTED);
    }

    private static ResumeDecision refused(Outcome outcome) {
        return new ResumeDecision(outcome, Optional.empty());
    }
}
