package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.Silence;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;

/**
 * Prepares another attempt while the one in progress is silent. The silent attempt goes on until the other one has
 * tokens, a retry, a replica and an open connection. It is then ended, and the other one is sent in the same task of
 * the event loop. If the silent attempt is heard again before that, everything that was taken is given back.
 *
 * <p>Confined to the event loop.
 */
final class RetryPreparation {
    /** Reserving tokens asks the store or other entries, which would hardly answer otherwise a moment later. */
    private static final long TOKENS_RETRY_MILLIS = 1_000;

    private final LongSupplier clock;
    private final RequestTokens tokens;
    private final RequestRetries retries;
    private final NextAttemptCheck check;
    private final ReplacementChoice choice;
    private final SilenceReport report;
    private final Request request;
    private TokenSource.@Nullable Pending pendingTokens;
    private boolean awaitsTokens;
    private long tokensRefusedMillis = Long.MIN_VALUE / 2;
    private @Nullable Replacement replacement;

    /** The request that the attempts belong to. */
    interface Request extends AttemptOwner {
        /** Creates an attempt at another replica. */
        AttemptRun createAttempt(BackendInstance instance);

        /** Begins an attempt, which takes the place of a silent one when it is written. */
        void beginReplacing(
                AttemptRun next, BackendInstance instance, PlacementQuery query, AttemptSendListener listener);

        /** Ends the silent attempt; the next one is about to be written. */
        void replaceAttempt(AttemptRun silent, AttemptRun next, BackendInstance instance, Silence silence);
    }

    RetryPreparation(
            LongSupplier clock,
            RequestTokens tokens,
            RequestRetries retries,
            NextAttemptCheck check,
            ReplacementChoice choice,
            SilenceReport report,
            Request request) {
        this.clock = clock;
        this.tokens = tokens;
        this.retries = retries;
        this.check = check;
        this.choice = choice;
        this.report = report;
        this.request = request;
    }

    /** Prepares another attempt, unless that is under way. Called regularly while the attempt in progress is silent. */
    void attemptSilent(AttemptRun silent, SilentAttempt state) {
        if (awaitsTokens || replacement != null || now() - tokensRefusedMillis < TOKENS_RETRY_MILLIS) {
            return;
        }
        SilentAttempt.Lack lack = lackBesidesReplica();
        if (lack == SilentAttempt.Lack.NOTHING && choice.choose(silent, state).isEmpty()) {
            lack = SilentAttempt.Lack.REPLICA;
        }
        if (lack != SilentAttempt.Lack.NOTHING) {
            report.kept(state, lack);
            return;
        }
        awaitsTokens = true;
        TokenSource.Pending pending = tokens.reserveForRunAfterCurrent(outcome -> onTokens(outcome, silent, state));
        if (awaitsTokens) {
            pendingTokens = pending;
        }
    }

    /** Asked before a replica is chosen, as a choice may ask for a permit. */
    private SilentAttempt.Lack lackBesidesReplica() {
        SilentAttempt.Lack lack = check.lack();
        return lack == SilentAttempt.Lack.NOTHING && !retries.available() ? SilentAttempt.Lack.RETRY : lack;
    }

    private void onTokens(TokenSource.Outcome outcome, AttemptRun silent, SilentAttempt state) {
        awaitsTokens = false;
        pendingTokens = null;
        if (outcome != TokenSource.Outcome.RESERVED) {
            tokensRefusedMillis = now();
            report.kept(state, SilentAttempt.Lack.TOKENS);
            return;
        }
        if (silent.mayBeAnswered(state)) {
            tokens.releaseRunAfterCurrent();
            return;
        }
        SilentAttempt.Lack lack = lackBesidesReplica();
        if (lack != SilentAttempt.Lack.NOTHING) {
            keepWithoutTokens(state, lack);
            return;
        }
        Optional<BackendInstance> chosen = choice.choose(silent, state);
        if (chosen.isEmpty()) {
            keepWithoutTokens(state, SilentAttempt.Lack.REPLICA);
            return;
        }
        if (!retries.tryTake()) {
            keepWithoutTokens(state, SilentAttempt.Lack.RETRY);
            return;
        }
        Replacement prepared = new Replacement(silent, state, chosen.get());
        replacement = prepared;
        request.beginReplacing(prepared.next, chosen.get(), choice.query(silent, state), prepared);
    }

    private void keepWithoutTokens(SilentAttempt state, SilentAttempt.Lack lack) {
        tokens.releaseRunAfterCurrent();
        report.kept(state, lack);
    }

    /** Ends the preparation, as the attempt was heard again. */
    void attemptHeard(SilentAttempt state) {
        boolean wasHandled = report.reportedAsKept() || awaitsTokens || replacement != null;
        cancel();
        if (wasHandled) {
            report.heardAgain(state);
        }
    }

    /** Gives back what was taken for another attempt. */
    void cancel() {
        if (pendingTokens != null) {
            pendingTokens.cancel();
            pendingTokens = null;
        }
        awaitsTokens = false;
        Replacement prepared = replacement;
        if (prepared != null) {
            prepared.cancelled = true;
            prepared.next.cancel();
            giveBack();
        }
    }

    private void giveBack() {
        replacement = null;
        retries.giveBack();
        tokens.releaseRunAfterCurrent();
    }

    private long now() {
        return clock.getAsLong();
    }

    /** Another attempt, from its choice until it is written. */
    private final class Replacement implements AttemptSendListener {
        private final AttemptRun silent;
        private final SilentAttempt state;
        private final BackendInstance instance;
        private final AttemptRun next;
        private boolean cancelled;

        Replacement(AttemptRun silent, SilentAttempt state, BackendInstance instance) {
            this.silent = silent;
            this.state = state;
            this.instance = instance;
            this.next = request.createAttempt(instance);
        }

        @Override
        public boolean isStillLive() {
            return !cancelled
                    && !silent.mayBeAnswered(state)
                    && check.lack() == SilentAttempt.Lack.NOTHING
                    && request.isStillLive();
        }

        @Override
        public void attemptWritten(BackendInstance at) {
            replacement = null;
            report.replaced(state);
            request.replaceAttempt(silent, next, instance, state.silence());
            request.attemptWritten(at);
        }

        @Override
        public void attemptEnded(AttemptEnd end) {
            giveBack();
            if (end.kind() == AttemptEnd.Kind.NOT_SENT) {
                report.kept(state, SilentAttempt.Lack.CONNECTION);
            }
        }
    }
}
