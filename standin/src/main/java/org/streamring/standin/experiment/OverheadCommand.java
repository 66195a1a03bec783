package org.streamring.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;

/** Sends streamed completions alternately through an entry and directly to an engine, and compares their times. */
@Command(
        name = "overhead",
        description =
                "Send completions alternately through an entry and directly to an engine, and compare their times")
public final class OverheadCommand implements Runnable {
    private static final String FORMAT = "%-10s %8s %8s %14s %14s %14s %14s%n";
    private static final long MAX_MICROS = 600_000_000L;

    @Option(name = "--entry", description = "Address of an entry")
    @Required
    private String entry = "";

    @Option(name = "--engine", description = "Address of an engine; without it, only the entry is measured")
    private String engine = "";

    @Option(name = "--key", description = "Key of a client account")
    @Required
    private String key = "";

    @Option(name = "--model", description = "Name of the model")
    private String model = "assist";

    @Option(name = "--requests", description = "Number of requests through the entry")
    private int requests = 200;

    @Option(name = "--tokens", description = "Number of tokens of each answer")
    private int tokens = 50;

    @Option(name = "--concurrency", description = "Number of concurrent requests")
    private int concurrency = 1;

    private static final class PathStatistics {
        private final String name;
        private final Histogram first = new Histogram(MAX_MICROS, 3);
        private final Histogram gap = new Histogram(MAX_MICROS, 3);
        private final Histogram total = new Histogram(MAX_MICROS, 3);
        private final AtomicInteger completed = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();

        private PathStatistics(String name) {
            this.name = name;
        }

        private synchronized void addResult(StreamTimes times) {
            if (!times.completed()) {
                failed.incrementAndGet();
                return;
            }
            completed.incrementAndGet();
            first.recordValue(times.firstMicros());
            total.recordValue(times.totalMicros());
            gap.recordValue(times.meanGapMicros());
        }

        private void print() {
            System.out.printf(
                    Locale.ROOT,
                    FORMAT,
                    name,
                    completed,
                    failed,
                    micros(first, 50) + "/" + micros(first, 95),
                    micros(gap, 50) + "/" + micros(gap, 95),
                    micros(total, 50),
                    micros(total, 95));
        }

        private static String micros(Histogram histogram, double percentile) {
            return Long.toString(histogram.getValueAtPercentile(percentile));
        }
    }

    @Override
    public void run() {
        PathStatistics viaEntry = new PathStatistics("entry");
        PathStatistics direct = new PathStatistics("direct");
        try (AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
            send(client, viaEntry, direct);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.printf(FORMAT, "path", "good", "bad", "first p50/95", "gap p50/95", "total p50 us", "total p95 us");
        viaEntry.print();
        if (direct.completed.get() > 0) {
            direct.print();
            System.out.printf(
                    Locale.ROOT,
                    "ratio of medians, entry to direct: first %.3f, gap %.3f, total %.3f%n",
                    ratio(viaEntry.first, direct.first),
                    ratio(viaEntry.gap, direct.gap),
                    ratio(viaEntry.total, direct.total));
        }
    }

    private static double ratio(Histogram one, Histogram other) {
        return one.getValueAtPercentile(50) / (double) Math.max(1, other.getValueAtPercentile(50));
    }

    private void send(AsyncHttpClient client, PathStatistics viaEntry, PathStatistics direct)
            throws InterruptedException {
        int totalRequests = engine.isEmpty() ? requests : 2 * requests;
        Semaphore slots = new Semaphore(concurrency);
        CountDownLatch done = new CountDownLatch(totalRequests);
        for (int i = 0; i < requests; i++) {
            start(client, entry, viaEntry, slots, done);
            if (!engine.isEmpty()) {
                start(client, engine, direct, slots, done);
            }
        }
        done.await();
    }

    private void start(AsyncHttpClient client, String base, PathStatistics path, Semaphore slots, CountDownLatch done)
            throws InterruptedException {
        slots.acquire();
        String body = """
                {"model":"%s","messages":[{"role":"user","content":"measure"}],"max_tokens":%d,\
                "standin_answer_tokens":%d,"stream":true}""".formatted(model, tokens, tokens);
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(base + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + key)
                .setHeader("X-Request-Id", "direct")
                .setBody(body);
        StreamTimes times = new StreamTimes();
        client.executeRequest(request, times).toCompletableFuture().whenComplete((ignored, problem) -> {
            path.addResult(times);
            slots.release();
            done.countDown();
        });
    }
}
