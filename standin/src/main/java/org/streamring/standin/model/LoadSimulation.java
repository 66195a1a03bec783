package org.streamring.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;

/** A simulation run of a scenario; the same seed gives the same calls with every wait policy. */
final class LoadSimulation {
    private static final double SECOND_MILLIS = 1_000;
    private static final double DRAIN_MILLIS = 20_000;
    private static final int RETRY_PAUSE_DIVISOR = 3;

    private final Scenario scenario;
    private final SimulatedClock time = new SimulatedClock();
    private final LoadStatistics statistics;
    private final Random random;
    private final ModelFleet fleet;
    private final double[] weights;
    private final int[][] entriesOfCallers;
    private final List<double[][]> sharedWeights = new ArrayList<>();

    LoadSimulation(Scenario scenario, WaitPolicyChoice choice, long seed) {
        this.scenario = scenario;
        this.statistics = new LoadStatistics(scenario.seconds());
        this.random = new Random(seed);
        this.fleet = new ModelFleet(time, scenario, choice, statistics, new Random(seed + 1));
        this.weights = RandomDraws.zipfWeights(
                scenario.accounts().count(), scenario.accounts().skew());
        this.entriesOfCallers = assignCallers();
        scenario.kinds()
                .forEach(kind -> sharedWeights.add(kind.shared().stream()
                        .map(part -> RandomDraws.zipfWeights(part.things(), part.skew()))
                        .toArray(double[][]::new)));
    }

    private int[][] assignCallers() {
        Scenario.Accounts accounts = scenario.accounts();
        int[][] callers = new int[accounts.count()][];
        for (int account = 0; account < accounts.count(); account++) {
            callers[account] = new int[Math.max(1, (int) Math.round(weights[account] * accounts.callers()))];
            int commonEntry = random.nextInt(scenario.fleet().entries());
            for (int caller = 0; caller < callers[account].length; caller++) {
                boolean singleEntry = account >= accounts.stuck();
                callers[account][caller] = singleEntry
                        ? commonEntry
                        : random.nextInt(scenario.fleet().entries());
            }
        }
        return callers;
    }

    /** Runs the simulation, and continues for a while without new calls until the running calls have ended. */
    LoadStatistics run() {
        for (int kind = 0; kind < scenario.kinds().size(); kind++) {
            scheduleNext(kind, 0);
        }
        time.runUntil(scenario.seconds() * SECOND_MILLIS + DRAIN_MILLIS);
        fleet.recordTokensRead();
        return statistics;
    }

    private void scheduleNext(int kind, double fromMillis) {
        double peakRate =
                scenario.kinds().get(kind).perSecond() * (1 + scenario.fleet().waveSwing()) * peakRateFactor();
        double at = fromMillis - Math.log(1 - random.nextDouble()) * SECOND_MILLIS / peakRate;
        if (at < scenario.seconds() * SECOND_MILLIS) {
            time.at(at, () -> {
                if (random.nextDouble() * peakRate < rate(kind)) {
                    startCall(kind);
                }
                scheduleNext(kind, at);
            });
        }
    }

    private double peakRateFactor() {
        double peakRate = 1;
        for (Scenario.Burst burst : scenario.bursts()) {
            double part = burst.account() < 0 ? 1 : weights[burst.account()];
            peakRate += Math.max(0, burst.factor() - 1) * part;
        }
        return peakRate;
    }

    private double rate(int kind) {
        double sum = 0;
        for (double weight : weightsNow()) {
            sum += weight;
        }
        double periods = time.now() / SECOND_MILLIS / scenario.fleet().wavePeriodSeconds();
        double wave = 1 + scenario.fleet().waveSwing() * Math.sin(2 * Math.PI * periods);
        return scenario.kinds().get(kind).perSecond() * wave * sum;
    }

    private double[] weightsNow() {
        double[] now = weights.clone();
        double seconds = time.now() / SECOND_MILLIS;
        for (Scenario.Burst burst : scenario.bursts()) {
            if (seconds < burst.atSeconds() || seconds >= burst.atSeconds() + burst.forSeconds()) {
                continue;
            }
            for (int account = 0; account < now.length; account++) {
                boolean affected = burst.account() < 0 || burst.account() == account;
                now[account] *= affected ? burst.factor() : 1;
            }
        }
        return now;
    }

    private void startCall(int number) {
        Scenario.Kind kind = scenario.kinds().get(number);
        int account = RandomDraws.weightedIndex(random, weightsNow());
        int[] callers = entriesOfCallers[account];
        int entry = callers[random.nextInt(callers.length)];
        Call call = new Call(kind, prompt(number, kind), answerTokens(kind), time.now());
        time.at(call.deadlineMillis(), () -> fleet.callEnded(call, Call.Outcome.FAILED));
        long retryEntryDraw = random.nextLong();
        tryAt(fleet.entries().get(entry), call, retryEntryDraw);
    }

    private void tryAt(ModelEntry entry, Call call, long retryEntryDraw) {
        int before = call.startTry();
        entry.accept(call, after -> {
            double left = Math.max(0, call.deadlineMillis() - time.now());
            if (before > 0) {
                fleet.callEnded(call, Call.Outcome.REFUSED);
                return;
            }
            double pause = Math.min(after, left / RETRY_PAUSE_DIVISOR);
            int other =
                    (int) Math.floorMod(retryEntryDraw, (long) fleet.entries().size());
            time.after(pause, () -> tryAt(fleet.entries().get(other), call, retryEntryDraw));
        });
    }

    private int answerTokens(Scenario.Kind kind) {
        return kind.engine()
                ? (int) Math.max(1, RandomDraws.lognormal(random, kind.answerTokens(), kind.answerSpread()))
                : 0;
    }

    private Prompt prompt(int number, Scenario.Kind kind) {
        if (!kind.engine()) {
            return Prompt.NONE;
        }
        List<PromptPart> parts = new ArrayList<>();
        long tokens = 0;
        for (int i = 0; i < kind.shared().size(); i++) {
            int variant = RandomDraws.weightedIndex(random, sharedWeights.get(number)[i]);
            long length = (long) kind.shared().get(i).tokens();
            parts.add(new PromptPart(kind.name() + "-" + i + "-" + variant, length));
            tokens += length;
        }
        long own = (long) Math.max(1, RandomDraws.lognormal(random, kind.ownTokens(), kind.ownSpread()));
        parts.add(new PromptPart("own-" + random.nextLong(), own));
        long answer = (long) kind.answerTokens();
        return new Prompt(parts, tokens + own, 2 * answer, answer);
    }
}
