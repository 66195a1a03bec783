package org.streamring.direct.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;

/** What a direct entry counts; the names are those of the metrics address. */
public final class EntryMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(30),
        Duration.ofMillis(100),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10)
    };

    private static final double[] LIMIT_PARTS = {0.1, 0.25, 0.5, 0.75, 0.9, 1, 1.5};

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Where the meters are kept. */
    public PrometheusMeterRegistry registry() {
        return registry;
    }

    /** Counts a final answer and its time from arrival to end, by outcome and rank. */
    public void requestEnded(String outcome, int rank, long millis) {
        Timer.builder("streamring.direct.request")
                .tag("outcome", outcome)
                .tag("rank", String.valueOf(rank))
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(Duration.ofMillis(millis));
    }

    /** Counts an attempt without a success, by its kind. */
    public void attemptFailed(String kind) {
        Counter.builder("streamring.direct.attempt.failed")
                .tag("kind", kind)
                .register(registry)
                .increment();
    }

    /** Counts a request that got no prepaid tokens, by reason. */
    public void tokensRefused(String reason) {
        Counter.builder("streamring.direct.tokens.refused")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Counts a connection to another entry that ended, by reason. */
    public void peerLost(String reason) {
        Counter.builder("streamring.direct.peer.lost")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Notes how much of a server's limit the permits of this entry used, as a part of it. */
    public void limitUsed(double part) {
        DistributionSummary.builder("streamring.direct.backend.limit.used")
                .serviceLevelObjectives(LIMIT_PARTS)
                .register(registry)
                .record(part);
    }

    /** Counts answers that name something that is no limit as their server's limit. */
    public void limitUnreadable() {
        Counter.builder("streamring.direct.backend.limit.unreadable")
                .register(registry)
                .increment();
    }

    /** Notes how late a timer of the event loop ran. */
    public void loopDelay(long millis) {
        Timer.builder("streamring.direct.loop.delay")
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(Duration.ofMillis(millis));
    }

    /** Counts questions to lenders, by whether they were answered in time. */
    public void lenderAsked(boolean answered) {
        Counter.builder("streamring.direct.lender.asked")
                .tag("answered", String.valueOf(answered))
                .register(registry)
                .increment();
    }

    /** Shows a number that is read when the metrics are. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder("streamring.direct." + name, value).register(registry);
    }
}
