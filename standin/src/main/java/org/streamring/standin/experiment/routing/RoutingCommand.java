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
 * Sends the same arrivals to entries of different strategies, in turn, and prints what came of them. Arrivals are drawn
 * with fixed seeds and do not wait for answers.
 */
@Command(
        name = "routing",
        description = "Compare entries of different routing strategies over the same engines; tools/measure-routing"
                + " starts the processes")
public final class RoutingCommand implements Runnable {
    private static final long SEED = 20_261;
    private static final double WARM_UP_LOAD = 0.5;
    private static final long SETTLE_MILLIS = 1_000;
    private static final double NANOS = TimeUnit.SECONDS.toNanos(1);
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

    @Option(name = "--batch", description = "Sequences in one step of an engine")
    private int batch = 8;

    @Option(name = "--step-millis", description = "Time of one step of an engine")
    private int stepMillis = 30;

    @Option(name = "--prefill-tokens", description = "Prompt tokens that an engine reads in one step")
    private int prefillTokens = 320;

    @Option(name = "--seconds", description = "Length of a slice of one strategy")
    private int seconds = 5;

    @Option(name = "--rounds", description = "Slices of each strategy in a scenario")
    private int rounds = 3;

    @Option(name = "--scenario", description = "Only scenarios whose name contains this")
    private String only = "";

    private final List<RequestKind> mix = RequestKind.mix();

    @Override
    public void run() {
        Map<String, String> strategies = new LinkedHashMap<>();
        entries.forEach(entry -> strategies.put(entry.split("=", 2)[0], entry.split("=", 2)[1]));
        try (MeasuredFleet fleet = new MeasuredFleet(platform, sidecars);
                AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
            double full = new EngineSize(fleet.size(), batch, stepMillis, prefillTokens).requestsPerSecond(mix);
            System.out.printf("%d engines; load 1 is %.1f requests/s%n%n", fleet.size(), full);
            fleet.list();
            warmUp(client, strategies, full);
            System.out.println(RoutingTally.header());
            for (RoutingScenario scenario : RoutingScenario.all()) {
                if (scenario.name().contains(only)) {
                    measure(scenario, client, fleet, strategies, full * scenario.load());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void warmUp(AsyncHttpClient client, Map<String, String> strategies, double full) {
        strategies.values().forEach(url -> slice(client, url, full * WARM_UP_LOAD, SEED - 1, new RoutingTally()));
    }

    private void measure(
            RoutingScenario scenario,
            AsyncHttpClient client,
            MeasuredFleet fleet,
            Map<String, String> strategies,
            double perSecond) {
        Map<String, RoutingTally> tallies = new LinkedHashMap<>();
        fleet.faultOfFirst(scenario.fault());
        for (int round = 0; round < rounds; round++) {
            long seed = SEED + round;
            strategies.forEach((strategy, url) -> {
                RoutingTally tally = tallies.computeIfAbsent(strategy, name -> new RoutingTally());
                PromptCounts before = fleet.promptCounts();
                Thread cut = cutInTheMiddle(scenario, fleet);
                slice(client, url, perSecond, seed, tally);
                join(cut);
                fleet.cutDomain(false);
                PromptCounts after = fleet.promptCounts();
                tally.addPrompts(after.read() - before.read(), after.cached() - before.cached());
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS));
            });
        }
        fleet.faultOfFirst(EngineFaults.NONE);
        tallies.forEach((strategy, tally) -> System.out.println(tally.row(scenario.name(), strategy)));
    }

    private Thread cutInTheMiddle(RoutingScenario scenario, MeasuredFleet fleet) {
        Thread cut = new Thread(() -> {
            if (scenario.cutDomain()) {
                LockSupport.parkNanos((long) (seconds * NANOS / 2));
                fleet.cutDomain(true);
            }
        });
        cut.start();
        return cut;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one slice of arrivals and waits for all answers. */
    private void slice(AsyncHttpClient client, String url, double perSecond, long seed, RoutingTally tally) {
        RandomGenerator random = new SplittableRandom(seed);
        Phaser open = new Phaser(1);
        long start = System.nanoTime();
        double at = 0;
        while (at < seconds) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            long wait = start + (long) (at * NANOS) - System.nanoTime();
            if (wait > 0) {
                LockSupport.parkNanos(wait);
            }
            send(client, url, RequestKind.draw(mix, random), random, tally, open);
        }
        open.arriveAndAwaitAdvance();
    }

    private static void send(
            AsyncHttpClient client,
            String url,
            RequestKind kind,
            RandomGenerator random,
            RoutingTally tally,
            Phaser open) {
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(url + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + kind.accountKey())
                .setHeader("Streamring-Deadline-Ms", DEADLINE_MILLIS)
                .setBody(kind.body(random));
        StreamTimes call = new StreamTimes();
        open.register();
        client.executeRequest(request, call).toCompletableFuture().whenComplete((ignored, problem) -> {
            tally.add(kind, call);
            open.arriveAndDeregister();
        });
    }
}
