package org.streamring.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.streamring.kernel.receipt.AdmitDecision;
import org.streamring.kernel.receipt.AttemptOrder;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.kernel.receipt.Usage;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Header;
import org.streamring.net.generated.Wire.Load;
import org.streamring.net.generated.Wire.Refused;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.peer.PeerConnection;
import org.streamring.sidecar.backend.BackendCall;
import org.streamring.sidecar.backend.BackendClient;
import org.streamring.sidecar.backend.BackendListener;

/** Runs the attempts that the receipt store admits, and sends their answers to the entries. */
final class AttemptRunner {
    private final String incarnation;
    private final ReceiptStore receiptStore;
    private final BackendClient backend;
    private final MeterRegistry metrics;
    private final Map<String, RunningAttempt> runningAttempts = new ConcurrentHashMap<>();
    private final Map<String, AnswerRecord> retainedAnswers = new ConcurrentHashMap<>();

    private static final class RunningAttempt {
        private final AttemptOrder order;
        private final AnswerRecord answer;
        private volatile java.util.Optional<BackendCall> call = java.util.Optional.empty();
        private volatile boolean cancelled;

        private RunningAttempt(AttemptOrder order) {
            this.order = order;
            this.answer = new AnswerRecord(order.keepAnswer());
        }

        private void cancel() {
            cancelled = true;
            call.ifPresent(BackendCall::cancel);
        }
    }

    AttemptRunner(String incarnation, ReceiptStore receiptStore, BackendClient backend, MeterRegistry metrics) {
        this.incarnation = incarnation;
        this.receiptStore = receiptStore;
        this.backend = backend;
        this.metrics = metrics;
    }

    void submit(PeerConnection from, Submit submit) {
        if (!submit.getSidecarIncarnation().equals(incarnation)) {
            refuse(from, submit.getAttempt(), RefusalReason.WRONG_INCARNATION);
            return;
        }
        if (submit.getDeadlineMillis() <= 0) {
            refuse(from, submit.getAttempt(), RefusalReason.DEADLINE);
            return;
        }
        AttemptOrder order = order(submit);
        AdmitDecision decision = receiptStore.admit(order, nowMillis());
        if (decision instanceof AdmitDecision.Refuse refuse) {
            refuse(from, submit.getAttempt(), refuse.reason());
        } else if (decision instanceof AdmitDecision.RanBefore) {
            refuseAsAlreadyRun(from, submit.getAttempt());
        } else if (decision instanceof AdmitDecision.Attach attach) {
            attach(from, submit, attach.originalAttempt());
        } else {
            run(from, submit, order);
        }
    }

    private static AttemptOrder order(Submit submit) {
        return new AttemptOrder(
                submit.getAttempt(),
                submit.getEntryIncarnation(),
                submit.getRequestKey(),
                submit.getBodyHash(),
                submit.getAccount(),
                submit.getBudget(),
                submit.getLeaseId(),
                submit.getService(),
                submit.getReservedTokens(),
                submit.getRepeatable(),
                submit.getKeepAnswer(),
                submit.getRank());
    }

    private void attach(PeerConnection from, Submit submit, String original) {
        count("attached");
        RunningAttempt running = runningAttempts.get(original);
        AnswerRecord answer = running == null ? retainedAnswers.get(original) : running.answer;
        if (answer == null) {
            refuseAsAlreadyRun(from, submit.getAttempt());
            return;
        }
        answer.subscribe(new AnswerRecord.Subscriber(from, submit.getAttempt(), false));
    }

    private void run(PeerConnection from, Submit submit, AttemptOrder order) {
        count("run");
        RunningAttempt running = new RunningAttempt(order);
        running.answer.subscribe(new AnswerRecord.Subscriber(from, order.attempt(), true));
        runningAttempts.put(order.attempt(), running);
        running.call = java.util.Optional.of(backend.start(submit, new AnswerForwarder(running, from)));
        if (running.cancelled) {
            running.cancel();
        }
    }

    private final class AnswerForwarder implements BackendListener {
        private final RunningAttempt running;
        private final PeerConnection from;

        private AnswerForwarder(RunningAttempt running, PeerConnection from) {
            this.running = running;
            this.from = from;
        }

        @Override
        public void begun(int status, List<Header> headers) {
            running.answer.deliver(
                    AnswerRecord.begin(Begin.newBuilder().setStatus(status).addAllHeaders(headers)));
        }

        @Override
        public void chunk(byte[] data) {
            running.answer.deliver(AnswerRecord.chunk(data));
        }

        @Override
        public void completed(Usage usage) {
            end(usage, End.newBuilder().setComplete(true));
        }

        @Override
        public void failed(Usage usage, String problem) {
            count("failed");
            End.Builder end = End.newBuilder().setComplete(false).setProblem(problem);
            if (running.order.repeatable() && !running.cancelled) {
                runningAttempts.remove(running.order.attempt());
                receiptStore.endWithoutCharge(running.order, nowMillis());
                deliverEnd(Usage.NONE, end);
            } else {
                end(usage, end);
            }
        }

        private void end(Usage usage, End.Builder end) {
            AttemptOrder order = running.order;
            if (order.keepAnswer()) {
                retainedAnswers.put(order.attempt(), running.answer);
            }
            runningAttempts.remove(order.attempt());
            receiptStore.end(
                    order, usage, order.keepAnswer() ? Math.max(1, running.answer.retainedBytes()) : 0, nowMillis());
            deliverEnd(usage, end);
        }

        private void deliverEnd(Usage usage, End.Builder end) {
            running.answer.deliver(AnswerRecord.end(end.setPromptTokens(usage.promptTokens())
                    .setAnswerTokens(usage.answerTokens())
                    .setTokens(usage.tokens())
                    .setBilled(true)
                    .setLoad(load())));
        }

        @Override
        public void notForwarded(String problem) {
            AttemptOrder order = running.order;
            runningAttempts.remove(order.attempt());
            receiptStore.withdraw(order, nowMillis());
            refuse(from, order.attempt(), RefusalReason.BACKEND_UNREACHABLE);
        }
    }

    private void refuse(PeerConnection to, String attempt, RefusalReason reason) {
        count("refused");
        to.send(Frame.newBuilder()
                .setRefused(Refused.newBuilder()
                        .setAttempt(attempt)
                        .setReason(reason.name())
                        .setLoad(load()))
                .build());
    }

    private void refuseAsAlreadyRun(PeerConnection to, String attempt) {
        to.send(Frame.newBuilder()
                .setRefused(Refused.newBuilder()
                        .setAttempt(attempt)
                        .setRanBefore(true)
                        .setLoad(load()))
                .build());
    }

    Load load() {
        return Load.newBuilder()
                .setRunning(receiptStore.running())
                .setCapacity(receiptStore.capacity())
                .setLeaving(receiptStore.isShuttingDown())
                .build();
    }

    /** Cancels an attempt whose caller has disconnected, unless its answer is retained for retries. */
    void cancel(String attempt) {
        RunningAttempt running = runningAttempts.get(attempt);
        if (running != null && !running.order.keepAnswer()) {
            running.cancel();
        }
    }

    /** Returns whether the answer of a running attempt is sent to this connection. */
    boolean hasSubscriber(PeerConnection connection) {
        return runningAttempts.values().stream().anyMatch(running -> running.answer.isSubscribed(connection));
    }

    /**
     * Removes the subscriptions of a closed connection. Cancels attempts that have no subscriber left, unless their
     * answers are retained for retries.
     */
    void disconnected(PeerConnection connection) {
        runningAttempts.values().forEach(running -> {
            boolean noSubscriberLeft = running.answer.unsubscribe(connection);
            if (noSubscriberLeft && !running.order.keepAnswer()) {
                running.cancel();
            }
        });
        retainedAnswers.values().forEach(answer -> answer.unsubscribe(connection));
    }

    /** Removes expired answers and aborts cancelled calls that did not end in time. */
    void cleanUp() {
        receiptStore.expire(nowMillis()).forEach(retainedAnswers::remove);
        runningAttempts.values().forEach(running -> running.call
                .filter(call -> call.overdue(nowMillis()))
                .ifPresent(BackendCall::abortOverdue));
    }

    private void count(String result) {
        Counter.builder("streamring.attempts")
                .description("Attempts by what became of them")
                .tag("result", result)
                .register(metrics)
                .increment();
    }

    private static long nowMillis() {
        return System.currentTimeMillis();
    }
}
