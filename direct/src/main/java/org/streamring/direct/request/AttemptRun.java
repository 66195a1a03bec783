package org.streamring.direct.request;

import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.backend.AttemptFailure;
import org.streamring.direct.backend.AttemptListener;
import org.streamring.direct.backend.BackendAttempt;
import org.streamring.direct.backend.BackendRequest;
import org.streamring.direct.backend.Silence;
import org.streamring.kernel.admission.LinkPace.Traffic;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementForecast;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.ReplicaState;
import org.streamring.kernel.registry.BackendInstance;

/** One attempt of a request at one replica: judges the answer and the replica's health. Confined to the event loop. */
final class AttemptRun implements AttemptListener {
    private static final int SERVER_ERROR = 500;
    private static final int FIRST_FAILURE = 300;
    private static final long WATCH_MILLIS = 200;
    /**
     * Plain calls take up to some 400 ms and prompts begin within a second; what is sent elsewhere now may still be
     * in time.
     */
    private static final long SILENT_MILLIS = 1_000;
    /** Forecasts of the first event are at most this far off while a replica is sound. */
    private static final int READING_SLACK = 3;

    private final RequestServices services;
    private final RequestPlan plan;
    private final BackendInstance instance;
    private final ReplicaState state;
    private final AnswerRelay relay;
    private final Owner owner;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable BackendAttempt attempt;
    private @Nullable AnswerHead head;
    private @Nullable Future<?> watch;
    private @Nullable PlacedPrompt placed;
    private @Nullable SendCheck sendCheck;
    private long beganMillis;
    private boolean streaming;
    private boolean over;

    /** The request that the attempt serves. */
    interface Owner {
        /** Whether the request is still wanted; asked when its connection is there. */
        boolean stillWanted();

        /** The request may run from now on. */
        void attemptSent();

        /** Events were passed on. */
        void handedOut(int events);

        /** The attempt is over. */
        void attemptEnded(AttemptEnd end);
    }

    AttemptRun(RequestServices services, RequestPlan plan, BackendInstance instance, AnswerRelay relay, Owner owner) {
        this.services = services;
        this.plan = plan;
        this.instance = instance;
        this.state = services.fleet().state(instance);
        this.relay = relay;
        this.owner = owner;
    }

    void begin(BackendRequest request, PlacementQuery query) {
        beganMillis = services.clock().getAsLong();
        placed = services.fleet().started(query, plan.service(), instance);
        SendCheck check = services.fleet().sendCheck(instance);
        sendCheck = check;
        attempt = services.fleet().pool(instance).begin(request, () -> owner.stillWanted() && check.passes(), this);
        watch = services.loop()
                .scheduleAtFixedRate(this::checkSilence, WATCH_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** What was expected of the attempt; empty before it began. */
    Optional<PlacementForecast> forecast() {
        return Optional.ofNullable(placed).map(PlacedPrompt::forecast);
    }

    boolean sent() {
        return attempt != null && attempt.sent();
    }

    /** When the request was written to a connection; empty before that. */
    OptionalLong sentMillis() {
        return attempt == null ? OptionalLong.empty() : attempt.sentMillis();
    }

    void pauseReading(boolean paused) {
        if (attempt != null) {
            attempt.pauseReading(paused);
        }
    }

    /** Gives the attempt up; the owner hears nothing more. */
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

    private void checkSilence() {
        BackendAttempt waiting = attempt;
        if (over || waiting == null || mayStillBeReading()) {
            return;
        }
        Silence silence = waiting.silence(SILENT_MILLIS);
        if (silence == Silence.CONNECTION) {
            services.fleet().distrustIdle(waiting.quietSinceMillis());
        }
        if (silence != Silence.NONE && plan.route().repeatable()) {
            giveUpSilent(waiting, silence);
        }
    }

    private void giveUpSilent(BackendAttempt silent, Silence silence) {
        boolean replicaSilent = silence == Silence.BACKEND;
        if (replicaSilent) {
            state.unreachable(services.clock().getAsLong());
        }
        silent.cancel();
        endAfterSending(replicaSilent ? AttemptEnd.silent() : AttemptEnd.unheard());
    }

    /** A replica that reads long prompts answers nothing meanwhile. */
    private boolean mayStillBeReading() {
        long expected = forecast().map(PlacementForecast::firstEventMillis).orElse(0L);
        return services.clock().getAsLong() - beganMillis < READING_SLACK * expected;
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        streaming = relay.streams(answerHead) && sealed(answerHead);
        if (streaming) {
            relay.newStream(answerHead);
        }
    }

    @Override
    public void onData(byte[] data) {
        services.link().written(Traffic.ANSWERS, data.length, services.clock().getAsLong());
        if (!streaming) {
            body.writeBytes(data);
            return;
        }
        int events = relay.streamData(data);
        if (events > 0) {
            notePlaced(each -> each.answered(services.clock().getAsLong()));
            owner.handedOut(events);
        }
    }

    @Override
    public void onEnd() {
        AnswerHead answered = Objects.requireNonNull(head);
        if (streaming) {
            endStream();
            return;
        }
        BufferedAnswer answer = new BufferedAnswer(answered, body.toByteArray());
        if (answered.headers().contains(services.names().notRun()) || answered.status() == 421) {
            notRun(answered);
            return;
        }
        if (answered.status() < FIRST_FAILURE) {
            endSuccess(answer);
            return;
        }
        if (answered.status() >= SERVER_ERROR) {
            state.failed(services.clock().getAsLong());
        } else {
            state.succeeded();
        }
        endAfterSending(AttemptEnd.failed(answer));
    }

    private void endStream() {
        if (!relay.endsBetweenEvents()) {
            spoiled("stream_cut_in_event");
            return;
        }
        state.succeeded();
        endAfterSending(AttemptEnd.whole());
    }

    private void endSuccess(BufferedAnswer answer) {
        if (!sealed(answer.head())) {
            spoiled("success_without_signature");
            return;
        }
        if (relay.begun()) {
            spoiled("no_stream_where_one_was_begun");
            return;
        }
        state.succeeded();
        relay.whole(answer);
        endAfterSending(AttemptEnd.whole());
    }

    private void notRun(AnswerHead answered) {
        if (answered.status() == 421) {
            state.unreachable(services.clock().getAsLong());
        }
        release();
        owner.attemptEnded(AttemptEnd.notRun("replica_refused_" + answered.status()));
    }

    private void spoiled(String reason) {
        state.failed(services.clock().getAsLong());
        endAfterSending(AttemptEnd.broken(reason));
    }

    @Override
    public void onFailure(AttemptFailure failure, String reason) {
        if (failure == AttemptFailure.WITHDRAWN) {
            noteNotSent();
            release();
            owner.attemptEnded(AttemptEnd.withdrawn());
            return;
        }
        if (failure == AttemptFailure.NOT_SENT) {
            if (!services.fleet().ownBoxLate()) {
                state.unreachable(services.clock().getAsLong());
            }
            noteNotSent();
            release();
            owner.attemptEnded(AttemptEnd.notSent("not_connected"));
            return;
        }
        spoiled(streaming ? "stream_broken" : "no_whole_answer");
    }

    private boolean sealed(AnswerHead answered) {
        return answered.headers().contains(services.names().signature())
                && !answered.headers().contains("content-encoding");
    }

    private void endAfterSending(AttemptEnd end) {
        release();
        owner.attemptSent();
        owner.attemptEnded(end);
    }

    private void notePlaced(Consumer<PlacedPrompt> note) {
        if (placed != null) {
            note.accept(placed);
        }
    }

    private void noteNotSent() {
        if (sendCheck != null) {
            sendCheck.notSent();
            sendCheck = null;
        }
    }

    private void release() {
        if (over) {
            return;
        }
        over = true;
        notePlaced(PlacedPrompt::ended);
        if (watch != null) {
            watch.cancel(false);
        }
    }
}
