package org.streamring.direct.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;

/** Meters of a direct entry, registered under the names that the metrics endpoint exposes. */
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

    private static final double[] LIMIT_USE_BUCKETS = {0.1, 0.25, 0.5, 0.75, 0.9, 1, 1.5};

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Returns the registry that holds the meters. */
    public PrometheusMeterRegistry registry() {
        return registry;
    }

    /** Counts a final answer and records the time since the arrival of its request, by outcome and rank. */
    public void requestEnded(String outcome, int rank, long millis) {
        Timer.builder("streamring.direct.request")
                .tag("outcome", outcome)
                .tag("rank", String.valueOf(rank))
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(Duration.ofMillis(millis));
    }

    /** Counts a request whose connection ended before its answer was complete, by why it ended. */
    public void answerIncomplete(String reason) {
        Counter.builder("streamring.direct.answer.incomplete")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Counts an answer that did not arrive whole, by what failed. */
    public void answerBroken(String failure) {
        Counter.builder("streamring.direct.answer.broken")
                .tag("failure", failure)
                .register(registry)
                .increment();
    }

    /** Counts a head that was read from two answers. */
    public void mergedHead() {
        Counter.builder("streamring.direct.answer.merged.heads")
                .register(registry)
                .increment();
    }

    /** Counts bytes of backend servers that belong to no request, by where they were found. */
    public void strayBytes(String place, long bytes) {
        DistributionSummary.builder("streamring.direct.stray.bytes")
                .tag("place", place)
                .register(registry)
                .record((double) bytes);
    }

    /** Counts an attempt that did not succeed, by the kind of its end. */
    public void attemptFailed(String kind) {
        Counter.builder("streamring.direct.attempt.failed")
                .tag("kind", kind)
                .register(registry)
                .increment();
    }

    /** Counts an attempt that fell silent, by what was decided and what a second attempt lacked. */
    public void attemptSilent(String decision, String lack) {
        Counter.builder("streamring.direct.attempt.silent")
                .tag("decision", decision)
                .tag("lacks", lack)
                .register(registry)
                .increment();
    }

    /** Counts a request that resumes a stream, by the outcome of the decision. */
    public void streamResumed(String outcome) {
        Counter.builder("streamring.direct.stream.resumed")
                .tag("outcome", outcome)
                .register(registry)
                .increment();
    }

    /** Counts a query for the origin of a stream that not all entries answered in time. */
    public void originQueryTimedOut() {
        Counter.builder("streamring.direct.stream.origin.timeouts")
                .register(registry)
                .increment();
    }

    /** Counts a request that was refused because it crashes servers, by the kind of the suspect. */
    public void suspectRefused(String kind) {
        Counter.builder("streamring.direct.suspects.refused")
                .tag("kind", kind)
                .register(registry)
                .increment();
    }

    /** Counts a server whose process had ended when attempts of this entry broke off there. */
    public void serverEnded() {
        Counter.builder("streamring.direct.servers.ended").register(registry).increment();
    }

    /** Counts a request that was refused prepaid tokens, by reason. */
    public void tokensRefused(String reason) {
        Counter.builder("streamring.direct.tokens.refused")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Counts the answer tokens by which a request was settled, by account and by what is known of them. */
    public void tokensSettled(String account, long received, long unknown) {
        countSettled(account, "received", received);
        countSettled(account, "unknown", unknown);
    }

    private void countSettled(String account, String ground, long tokens) {
        Counter.builder("streamring.direct.answer.tokens.settled")
                .tag("account", account)
                .tag("ground", ground)
                .register(registry)
                .increment((double) tokens);
    }

    /** Counts a decision whether a request may be sent again. */
    public void retryDecided(String service, boolean granted) {
        Counter.builder("streamring.direct.retries")
                .tag("service", service)
                .tag("granted", String.valueOf(granted))
                .register(registry)
                .increment();
    }

    /** Counts a lost connection to another entry, by reason. */
    public void peerConnectionLost(String reason) {
        Counter.builder("streamring.direct.peer.lost")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Records the fraction of a server's limit that was used by permits of this entry. */
    public void limitUsed(double fraction) {
        DistributionSummary.builder("streamring.direct.backend.limit.used")
                .serviceLevelObjectives(LIMIT_USE_BUCKETS)
                .register(registry)
                .record(fraction);
    }

    /** Counts an answer whose announced limit can't be parsed. */
    public void limitUnreadable() {
        Counter.builder("streamring.direct.backend.limit.unreadable")
                .register(registry)
                .increment();
    }

    /** Counts a body that got no memory or had to give it back, by kind and reason. */
    public void memoryRefused(String kind, String reason) {
        Counter.builder("streamring.direct.memory.refused")
                .tag("body", kind)
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Records the delay of a timer on the event loop. */
    public void loopDelay(long millis) {
        Timer.builder("streamring.direct.loop.delay")
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(Duration.ofMillis(millis));
    }

    /** Counts a request to a lender, by whether it was answered in time. */
    public void lenderRequestEnded(boolean answered) {
        Counter.builder("streamring.direct.lender.asked")
                .tag("answered", String.valueOf(answered))
                .register(registry)
                .increment();
    }

    /** Registers a gauge, whose value is read when the metrics are scraped. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder("streamring.direct." + name, value).register(registry);
    }

    /** Registers a gauge with a tag. */
    public void gauge(String name, String tag, String tagValue, Supplier<Number> value) {
        Gauge.builder("streamring.direct." + name, value).tag(tag, tagValue).register(registry);
    }

    /** Counts an answer of the store that was not used, by reason. */
    public void storeAnswerDropped(String reason) {
        Counter.builder("streamring.direct.store.answers.dropped")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }
}
