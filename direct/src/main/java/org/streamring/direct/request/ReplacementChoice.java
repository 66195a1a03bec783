package org.streamring.direct.request;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.streamring.direct.backend.Silence;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;

/** Chooses the replica of an attempt that takes the place of a silent one. Confined to the event loop. */
final class ReplacementChoice {
    /**
     * If no replica is heard for this time, the open connections may have fallen silent for good. A replica that is not
     * ejected is tried then, or the silent one over another connection, by one request at a time.
     */
    private static final long SILENT_FOR_GOOD_MILLIS = 1_500;

    private final BackendFleet fleet;
    private final RequestPlan plan;
    private final AttemptHistory attempts;
    private final Function<Set<String>, PlacementQuery> queryWithout;

    /**
     * Creates a choice for one request.
     *
     * @param queryWithout returns the query for a replica that is none of the given ones
     */
    ReplacementChoice(
            BackendFleet fleet,
            RequestPlan plan,
            AttemptHistory attempts,
            Function<Set<String>, PlacementQuery> queryWithout) {
        this.fleet = fleet;
        this.plan = plan;
        this.attempts = attempts;
        this.queryWithout = queryWithout;
    }

    Optional<BackendInstance> choose(AttemptRun silent, SilentAttempt state) {
        PlacementQuery query = query(silent, state);
        Optional<BackendInstance> responsive = fleet.chooseResponsive(plan.service(), query);
        if (responsive.isPresent()) {
            return responsive;
        }
        boolean mayBeSilentForGood = state.silentMillis() >= SILENT_FOR_GOOD_MILLIS;
        Optional<BackendInstance> unheard =
                mayBeSilentForGood ? fleet.chooseUsable(plan.service(), query) : Optional.empty();
        boolean mayBeTriedAgain = mayBeSilentForGood || state.silence() == Silence.CONNECTION;
        return unheard.isPresent() || !mayBeTriedAgain ? unheard : fleet.chooseAgain(plan.service(), silent.instance());
    }

    /** If only the connection is known to be silent, its replica may receive the request over another one. */
    PlacementQuery query(AttemptRun silent, SilentAttempt state) {
        return queryWithout.apply(
                state.silence() == Silence.CONNECTION
                        ? attempts.excludedExcept(silent.instance())
                        : attempts.excludedReplicas());
    }
}
