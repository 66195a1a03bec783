package org.streamring.standin.experiment.routing;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.streamring.standin.engine.EngineFaults;
import org.streamring.standin.experiment.StreamTimes;
import org.streamring.standin.experiment.routing.MeasuredFleet.PromptCounts;

/**
 * Sends the same sequence of requests to entries with different routing strategies, one after the other, and prints the
 * results. Arrival times are drawn with fixed seeds and don't depend on the answers (open loop).
 */
@Command(
        name = "routing",
        description = "Compare entries with different routing strategies on the same engines; tools/measure-routing"
                + " starts the processes")
public final class RoutingCommand implements Runnable {
    private static final long SEED = 20_261;
    private static final double WARM_UP_LOAD = 0.5;
    private static final long PAUSE_AFTER_SLICE_MILLIS = 1_000;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final String DEADLINE_MILLIS = "10000";

    @Option(name = "--platform", description = "Address of the stand-in platform")
    @Required
    private String platform = "";

    @Option(name = "--entry", description = "STRATEGY=ADDRESS; once per strategy")
    @Required
    private List<String> entries = new ArrayList<>();

    @Option(name = "--sidecar", description = "NAME,PORT,DOMAIN,ENGINE-ADDRESS; once per sidecar")
    @Required
    private List<String> sidecars = new ArrayList<>();

    @Option(name = "--batch", description = "Maximum number of sequences in a step of an engine")
    private int batch = 8;

    @Option(name = "--step-millis", description = "Duration of a step of an engine")
    private int stepMillis = 30;

    @Option(name = "--prefill-tokens", description = "Prompt tokens that an engine reads in a step")
    private int prefillTokens = 320;

    @Option(name = "--seconds", description = "Length of a slice of a strategy")
    private int seconds = 5;

    @Option(name = "--rounds", description = "Number of slices of each strategy in a scenario")
    private int rounds = 3;

    @Option(name = "--scenario", description = "Run only scenarios whose name contains this text")
    private String scenarioFilter = "";

    private final List<RequestKind> mix = RequestKind.mix();

    @Override
    public void run() {
        Map<String, String> strategies = new LinkedHashMap<>();
        entries.forEach(entry -> strategies.put(entry.split("=", 2)[0], entry.split("=", 2)[1]));
        try (MeasuredFleet fleet = new MeasuredFleet(platform, sidecars);
                AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
            double fullLoadRate = new EngineSize(fleet.size(), batch, stepMillis, prefillTokens).requestsPerSecond(mix);
            System.out.printf("%d engines; load 1 is %.1f requests/s%n%n", fleet.size(), fullLoadRate);
            fleet.publishBoxList();
            warmUp(client, strategies, fullLoadRate);
            System.out.println(RoutingStatistics.header());
            for (RoutingScenario scenario : RoutingScenario.all()) {
                if (scenario.name().contains(scenarioFilter)) {
                    measure(scenario, client, fleet, strategies, fullLoadRate * scenario.load());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void warmUp(AsyncHttpClient client, Map<String, String> strategies, double fullLoadRate) {
        strategies
                .values()
                .forEach(url -> runSlice(client, url, fullLoadRate * WARM_UP_LOAD, SEED - 1, new RoutingStatistics()));
    }

    private void measure(
            RoutingScenario scenario,
            AsyncHttpClient client,
            MeasuredFleet fleet,
            Map<String, String> strategies,
            double perSecond) {
        Map<String, RoutingStatistics> statisticsByStrategy = new LinkedHashMap<>();
        fleet.setFaultsOfFirstEngine(scenario.fault());
        for (int round = 0; round < rounds; round++) {
            long seed = SEED + round;
            strategies.forEach((strategy, url) -> {
                RoutingStatistics statistics =
                        statisticsByStrategy.computeIfAbsent(strategy, name -> new RoutingStatistics());
                PromptCounts before = fleet.promptCounts();
                Thread cutThread = startDomainCut(scenario, fleet);
                runSlice(client, url, perSecond, seed, statistics);
                join(cutThread);
                fleet.setDomainCut(false);
                PromptCounts after = fleet.promptCounts();
                statistics.addPrompts(after.read() - before.read(), after.cached() - before.cached());
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_AFTER_SLICE_MILLIS));
            });
        }
        fleet.setFaultsOfFirstEngine(EngineFaults.NONE);
        statisticsByStrategy.forEach(
                (strategy, statistics) -> System.out.println(statistics.row(scenario.name(), strategy)));
    }

    private Thread startDomainCut(RoutingScenario scenario, MeasuredFleet fleet) {
        Thread cutThread = new Thread(() -> {
            if (scenario.cutDomain()) {
                LockSupport.parkNanos((long) (seconds * NANOS_PER_SECOND / 2));
                fleet.setDomainCut(true);
            }
        });
        cutThread.start();
        return cutThread;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends the requests of a slice and waits for all answers. */
    private void runSlice(
            AsyncHttpClient client, String url, double perSecond, long seed, RoutingStatistics statistics) {
        RandomGenerator random = new SplittableRandom(seed);
        Phaser pendingRequests = new Phaser(1);
        long startNanos = System.nanoTime();
        double atSeconds = 0;
        while (atSeconds < seconds) {
            atSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
            long delayNanos = startNanos + (long) (atSeconds * NANOS_PER_SECOND) - System.nanoTime();
            if (delayNanos > 0) {
                LockSupport.parkNanos(delayNanos);
            }
            send(client, url, RequestKind.draw(mix, random), random, statistics, pendingRequests);
        }
        pendingRequests.arriveAndAwaitAdvance();
    }

    private static void send(
            AsyncHttpClient client,
            String url,
            RequestKind kind,
            RandomGenerator random,
            RoutingStatistics statistics,
            Phaser pendingRequests) {
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(url + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + kind.accountKey())
                .setHeader("Streamring-Deadline-Ms", DEADLINE_MILLIS)
                .setBody(kind.body(random));
        StreamTimes times = new StreamTimes();
        pendingRequests.register();
        client.executeRequest(request, times).toCompletableFuture().whenComplete((ignored, problem) -> {
            statistics.add(kind, times);
            pendingRequests.arriveAndDeregister();
        });
    }
}
