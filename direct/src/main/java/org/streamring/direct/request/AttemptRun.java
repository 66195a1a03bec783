package org.streamring.direct.request;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.backend.AttemptFailure;
import org.streamring.direct.backend.AttemptListener;
import org.streamring.direct.backend.BackendAttempt;
import org.streamring.direct.backend.BackendRequest;
import org.streamring.direct.backend.Silence;
import org.streamring.kernel.admission.LinkBacklog.Traffic;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementForecast;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.ReplicaState;
import org.streamring.kernel.registry.BackendInstance;

/** One attempt of a request at one replica: judges the answer and the replica's health. Confined to the event loop. */
final class AttemptRun implements AttemptListener {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    /**
     * Plain calls take up to about 400 ms, and answers to prompts begin within a second. A request that is sent to
     * another replica after this time may still be answered in time.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_000;

    private final RequestServices services;
    private final RequestPlan plan;
    private final BackendInstance instance;
    private final ReplicaState state;
    private final AnswerRelay relay;
    private final AttemptOwner owner;
    private AttemptSendListener sendListener;
    private final AnswerBody body;
    private final SilentMark silentMark;
    private @Nullable BackendAttempt attempt;
    private @Nullable AnswerHead head;
    private final SilenceCheck silenceCheck;
    private @Nullable PlacedPrompt placedPrompt;
    private @Nullable SendCheck sendCheck;
    private long beganMillis;
    private int eventsDelivered;
    private boolean streaming;
    private boolean written;
    private final AttemptDrain drain;
    private boolean finished;
    /** Whether the answer is kept after the attempt, together with its memory. */
    private boolean answerKept;

    private @Nullable SilentAttempt silent;
    private boolean foundReplicaSilent;

    /** A way to begin an attempt at a replica. */
    private interface Sending {
        BackendAttempt begin(BackendRequest request, BooleanSupplier mayBeSent, AttemptListener listener);
    }

    AttemptRun(
            RequestServices services,
            RequestPlan plan,
            BackendInstance instance,
            AnswerRelay relay,
            AttemptOwner owner) {
        this.services = services;
        this.plan = plan;
        this.instance = instance;
        this.state = services.fleet().state(instance);
        this.relay = relay;
        this.owner = owner;
        this.sendListener = owner;
        this.silentMark = new SilentMark(state);
        this.body = new AnswerBody(new AnswerMemory(services.memory(), plan.id(), this::pauseForMemory));
        this.drain = new AttemptDrain(services.loop());
        this.silenceCheck = new SilenceCheck(services.loop(), this::silence, this::silenceChecked);
    }

    void begin(BackendRequest request, PlacementQuery query) {
        begin(request, query, services.fleet().pool(instance)::begin);
    }

    /**
     * Begins an attempt whose owner is called only once its request is written.
     *
     * @param listener called until then; its {@link AttemptSendListener#attemptWritten} immediately before the request
     *     is written
     */
    void beginReplacing(BackendRequest request, PlacementQuery query, AttemptSendListener listener) {
        sendListener = listener;
        begin(request, query, services.fleet().pool(instance)::beginReplacing);
    }

    private void begin(BackendRequest request, PlacementQuery query, Sending sending) {
        beganMillis = services.clock().getAsLong();
        placedPrompt = services.fleet().started(query, plan.service(), instance);
        SendCheck check = services.fleet().sendCheck(instance);
        sendCheck = check;
        BackendAttempt begun =
                sending.begin(request, () -> sendListener.isStillLive() && check.passes() && noteWritten(), this);
        attempt = begun;
        if (begun.sent()) {
            noteWritten();
        }
        silenceCheck.start();
    }

    private boolean noteWritten() {
        if (!written) {
            written = true;
            sendListener.attemptWritten(instance);
        }
        return true;
    }

    BackendInstance instance() {
        return instance;
    }

    /** Returns the forecast for the attempt; empty before it began. */
    Optional<PlacementForecast> forecast() {
        return Optional.ofNullable(placedPrompt).map(PlacedPrompt::forecast);
    }

    boolean sent() {
        return attempt != null && attempt.sent();
    }

    /** Returns the time at which the request was written to a connection; empty before that. */
    OptionalLong sentMillis() {
        return attempt == null ? OptionalLong.empty() : attempt.sentMillis();
    }

    /** Returns how far the answer has come. */
    AttemptProgress progress() {
        return new AttemptProgress(head != null, eventsDelivered);
    }

    void pauseReading(boolean paused) {
        if (attempt != null) {
            attempt.pauseReading(paused);
        }
    }

    private void pauseForMemory(boolean paused) {
        if (attempt != null) {
            attempt.pauseForMemory(paused);
        }
    }

    /** Cancels the attempt. {@link AttemptOwner#attemptEnded} is not called afterwards. */
    void cancel() {
        if (sent()) {
            owner.attemptSent();
        } else {
            noteNotSent();
        }
        release();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /**
     * Cancels the attempt and counts the events that arrive until the replica closes the connection, for a short time.
     * A silent attempt is reset at once: its replica learns of it when it goes on, though it may still read what came.
     * {@link AttemptOwner#attemptDrained} is called at the end instead of {@link AttemptOwner#attemptEnded}.
     */
    void cancelAndDrain() {
        owner.attemptSent();
        release();
        drain.begin(this::drainTimedOut);
        if (silent != null) {
            drainTimedOut();
            return;
        }
        Objects.requireNonNull(attempt).drain();
    }

    private void drainTimedOut() {
        Objects.requireNonNull(attempt).cancel();
        endDraining(false);
    }

    private void endDraining(boolean toItsEnd) {
        if (!drain.isRunning()) {
            return;
        }
        drain.stop();
        AnswerHead answered = head;
        boolean countable = streaming || answered == null || answered.status() >= FIRST_NON_SUCCESS_STATUS;
        int incompleteEvents = relay.endsBetweenEvents() ? 0 : 1;
        owner.attemptDrained(drain.events() + incompleteEvents, toItsEnd && countable);
    }

    private Silence silence() {
        return attempt == null || mayStillReadPrompt()
                ? Silence.NONE
                : attempt.checkResponsiveness(SILENCE_TIMEOUT_MILLIS);
    }

    private void silenceChecked(Silence silence) {
        BackendAttempt waiting = Objects.requireNonNull(attempt);
        if (silence == Silence.CONNECTION) {
            services.fleet().closeIdleLastUsedBy(waiting.lastReadOrSentMillis());
        }
        if (silence == Silence.NONE) {
            noteHeard();
            return;
        }
        silentMark.set();
        if (!plan.route().repeatable()) {
            return;
        }
        if (silence == Silence.BACKEND && !foundReplicaSilent) {
            foundReplicaSilent = true;
            state.silent(services.clock().getAsLong());
        }
        silent = silentAttempt(waiting, silence);
        owner.attemptSilent(this, silent);
    }

    private void noteHeard() {
        SilentAttempt before = silent;
        if (before != null && !heardSince(before)) {
            return;
        }
        silentMark.clear();
        if (before != null) {
            silent = null;
            foundReplicaSilent = false;
            owner.attemptHeard(before);
        }
    }

    private SilentAttempt silentAttempt(BackendAttempt waiting, Silence silence) {
        long now = services.clock().getAsLong();
        return new SilentAttempt(
                silence,
                waiting.lastReadOrSentMillis(),
                now - waiting.lastReadOrSentMillis(),
                now - services.fleet().pool(instance).lastDataMillis(),
                eventsDelivered);
    }

    /** Whether something arrived on the connection of the attempt since it was silent, or the attempt has ended. */
    boolean heardSince(SilentAttempt before) {
        return finished || attempt == null || attempt.lastReadOrSentMillis() != before.sinceMillis();
    }

    /**
     * Whether a silent attempt may be answered after all: it was heard since, or its replica was, and what the replica
     * sent does not show that the connection has failed. A connection that was only accepted shows nothing.
     */
    boolean mayBeAnswered(SilentAttempt before) {
        boolean replicaHeard = services.fleet().pool(instance).lastDataMillis() > before.replicaHeardMillis();
        return heardSince(before) || (replicaHeard && silence() == Silence.NONE);
    }

    /** Ends a silent attempt without a call of {@link AttemptOwner#attemptEnded}, and returns its end. */
    AttemptEnd endSilent(Silence silence) {
        Objects.requireNonNull(attempt).cancel();
        release();
        owner.attemptSent();
        return silence == Silence.BACKEND ? AttemptEnd.silent() : AttemptEnd.unheard();
    }

    private boolean mayStillReadPrompt() {
        long sinceBegunMillis = services.clock().getAsLong() - beganMillis;
        return forecast()
                .filter(each -> each.mayBeReadingPrompt(sinceBegunMillis))
                .isPresent();
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        state.heard();
        head = answerHead;
        streaming = relay.isStreamed(answerHead) && sealed(answerHead);
        if (streaming) {
            relay.streamStarted(answerHead);
        } else if (!drain.isRunning() && !body.expect(answerHead)) {
            endUnread("answer_too_large");
        }
    }

    /** Ends the attempt without reading the rest of the answer. */
    private void endUnread(String reason) {
        Objects.requireNonNull(attempt).cancel();
        if (drain.isRunning()) {
            endDraining(false);
        } else {
            endBroken(reason);
        }
    }

    @Override
    public void onData(byte[] data) {
        state.heard();
        services.link().addBytes(Traffic.ANSWERS, data.length, services.clock().getAsLong());
        if (drain.isRunning()) {
            skip(data);
            return;
        }
        if (!streaming) {
            if (!body.add(data)) {
                endUnread("answer_without_end");
            }
            return;
        }
        int events = relay.streamData(data);
        if (events > 0) {
            ifPlaced(each -> each.answered(services.clock().getAsLong()));
            eventsDelivered += events;
            owner.eventsDelivered(events);
        }
        if (!finished && !body.admitsEvent(relay.partialBytes())) {
            endUnread("event_without_end");
        }
    }

    private void skip(byte[] data) {
        drain.add(streaming ? relay.skipData(data) : 0);
        if (relay.partialBytes() > AnswerMemory.MAX_EVENT_BYTES) {
            endUnread("event_without_end");
        }
    }

    @Override
    public void onEnd() {
        if (drain.isRunning()) {
            endDraining(true);
            return;
        }
        AnswerHead answeredHead = Objects.requireNonNull(head);
        ConnectionEndCheck check = services.fleet().connectionEndCheck(instance);
        if (!isNotRun(answeredHead) && check.isNeededFor(answeredHead)) {
            check.run(this::processChecked);
        } else {
            endWhole(answeredHead);
        }
    }

    private void processChecked(boolean exited) {
        if (drain.isRunning()) {
            endDraining(!exited);
        } else if (!finished && exited) {
            onFailure(AttemptFailure.EXITED, "the process exited, and nothing else shows the end of the answer");
        } else if (!finished) {
            endWhole(Objects.requireNonNull(head));
        }
    }

    private boolean isNotRun(AnswerHead answeredHead) {
        return answeredHead.headers().contains(services.names().notRun()) || answeredHead.status() == 421;
    }

    private void endWhole(AnswerHead answeredHead) {
        if (streaming) {
            endStream();
            return;
        }
        BufferedAnswer answer = body.whole(answeredHead);
        if (isNotRun(answeredHead)) {
            endNotRun(answeredHead);
            return;
        }
        if (answeredHead.status() < FIRST_NON_SUCCESS_STATUS) {
            endSuccess(answer);
            return;
        }
        if (answeredHead.status() >= FIRST_SERVER_ERROR_STATUS) {
            state.failed(services.clock().getAsLong());
        } else {
            state.succeeded();
        }
        answerKept = true;
        endAfterSending(AttemptEnd.failed(answer));
    }

    private void endStream() {
        if (!relay.endsBetweenEvents()) {
            endBroken("stream_cut_in_event");
            return;
        }
        if (eventsDelivered == 0 && Objects.requireNonNull(head).endsWithConnection()) {
            endBroken("stream_without_events");
            return;
        }
        state.succeeded();
        endAfterSending(AttemptEnd.whole());
    }

    private void endSuccess(BufferedAnswer answer) {
        if (!sealed(answer.head())) {
            endBroken("success_without_signature");
            return;
        }
        if (relay.started()) {
            endBroken("no_stream_where_one_was_begun");
            return;
        }
        state.succeeded();
        answerKept = true;
        relay.buffer(answer);
        endAfterSending(AttemptEnd.whole());
    }

    private void endNotRun(AnswerHead answeredHead) {
        if (answeredHead.status() == 421) {
            state.unreachable(services.clock().getAsLong());
        }
        release();
        owner.attemptEnded(AttemptEnd.notRun("replica_refused_" + answeredHead.status()));
    }

    private void endBroken(String reason) {
        endBroken(reason, "");
    }

    private void endBroken(String reason, String detail) {
        state.failed(services.clock().getAsLong());
        endAfterSending(AttemptEnd.broken(reason, detail, progress()));
    }

    @Override
    public void onFailure(AttemptFailure failure, String reason) {
        if (drain.isRunning()) {
            endDraining(failure == AttemptFailure.CLOSED);
            return;
        }
        if (failure == AttemptFailure.WITHDRAWN) {
            noteNotSent();
            release();
            sendListener.attemptEnded(AttemptEnd.withdrawn());
            return;
        }
        if (failure == AttemptFailure.NOT_SENT) {
            if (!services.fleet().isLocalBoxDelayed()) {
                state.unreachable(services.clock().getAsLong());
            }
            noteNotSent();
            release();
            sendListener.attemptEnded(AttemptEnd.notSent("not_connected"));
            return;
        }
        services.metrics().answerBroken(failure.name());
        endBroken(streaming ? "stream_broken" : "no_whole_answer", failure + ": " + reason);
    }

    private boolean sealed(AnswerHead answeredHead) {
        return answeredHead.headers().contains(services.names().signature())
                && !answeredHead.headers().contains("content-encoding");
    }

    private void endAfterSending(AttemptEnd end) {
        release();
        owner.attemptSent();
        owner.attemptEnded(end);
    }

    private void ifPlaced(Consumer<PlacedPrompt> action) {
        if (placedPrompt != null) {
            action.accept(placedPrompt);
        }
    }

    private void noteNotSent() {
        if (sendCheck != null) {
            sendCheck.notSent();
            sendCheck = null;
        }
    }

    private void release() {
        if (finished) {
            return;
        }
        finished = true;
        if (!answerKept) {
            body.release();
        }
        silentMark.clear();
        ifPlaced(PlacedPrompt::ended);
        silenceCheck.stop();
    }
}
