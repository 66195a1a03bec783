package org.streamring.entry.request;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.Refusal;
import org.streamring.net.generated.Wire.Header;

/** Answer sink that counts final answers by outcome and reason and passes each call on to another sink. */
final class CountingAnswerSink implements AnswerSink {
    private final AnswerSink sink;
    private final MeterRegistry metrics;
    private final Runnable onFinalAnswer;
    private final AtomicBoolean finalAnswerGiven = new AtomicBoolean();

    CountingAnswerSink(AnswerSink sink, MeterRegistry metrics, Runnable onFinalAnswer) {
        this.sink = sink;
        this.metrics = metrics;
        this.onFinalAnswer = onFinalAnswer;
    }

    @Override
    public void begin(int status, List<Header> headers) {
        sink.begin(status, headers);
    }

    @Override
    public void chunk(ByteString data) {
        sink.chunk(data);
    }

    @Override
    public void complete() {
        boolean isFinal = count(Outcome.ANSWERED, "none");
        try {
            sink.complete();
        } finally {
            afterAnswer(isFinal);
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        boolean isFinal = count(Outcome.NOT_RUN, refusal.reason().name());
        try {
            sink.refuse(refusal);
        } finally {
            afterAnswer(isFinal);
        }
    }

    @Override
    public void fail(Outcome outcome, String message) {
        boolean isFinal = count(outcome, "incomplete");
        try {
            sink.fail(outcome, message);
        } finally {
            afterAnswer(isFinal);
        }
    }

    private boolean count(Outcome outcome, String reason) {
        if (!finalAnswerGiven.compareAndSet(false, true)) {
            return false;
        }
        Counter.builder("streamring.requests")
                .description("Final answers by outcome and reason")
                .tag("outcome", outcome.text())
                .tag("reason", reason)
                .register(metrics)
                .increment();
        return true;
    }

    /** A stop may end the process once no request is open, so that the answer has to be given before. */
    private void afterAnswer(boolean isFinal) {
        if (isFinal) {
            onFinalAnswer.run();
        }
    }
}
