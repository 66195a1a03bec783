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

/** Counts final answers by outcome and reason. */
final class CountedSink implements AnswerSink {
    private final AnswerSink sink;
    private final MeterRegistry metrics;
    private final Runnable onFinal;
    private final AtomicBoolean done = new AtomicBoolean();

    CountedSink(AnswerSink sink, MeterRegistry metrics, Runnable onFinal) {
        this.sink = sink;
        this.metrics = metrics;
        this.onFinal = onFinal;
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
        count(Outcome.ANSWERED, "none");
        sink.complete();
    }

    @Override
    public void refuse(Refusal refusal) {
        count(Outcome.NOT_RUN, refusal.reason().name());
        sink.refuse(refusal);
    }

    @Override
    public void fail(Outcome outcome, String message) {
        count(outcome, "incomplete");
        sink.fail(outcome, message);
    }

    private void count(Outcome outcome, String reason) {
        if (!done.compareAndSet(false, true)) {
            return;
        }
        Counter.builder("streamring.requests")
                .description("Final answers by outcome and reason")
                .tag("outcome", outcome.text())
                .tag("reason", reason)
                .register(metrics)
                .increment();
        onFinal.run();
    }
}
