package org.streamring.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;

/** One day of a scenario: the same seed gives the same calls, whatever the way of deciding. */
final class LoadDay {
    private static final double SECOND_MILLIS = 1_000;
    private static final double AFTER_MILLIS = 20_000;
    private static final int CALLERS_PART_OF_TIME = 3;

    private final Scenario scenario;
    private final Timeline time = new Timeline();
    private final LoadTally tally;
    private final Random calls;
    private final ModelFleet fleet;
    private final double[] weights;
    private final int[][] entriesOfCallers;
    private final List<double[][]> sharedWeights = new ArrayList<>();

    LoadDay(Scenario scenario, Way way, long seed) {
        this.scenario = scenario;
        this.tally = new LoadTally(scenario.seconds());
        this.calls = new Random(seed);
        this.fleet = new ModelFleet(time, scenario, way, tally, new Random(seed + 1));
        this.weights =
                Draws.skewed(scenario.accounts().count(), scenario.accounts().skew());
        this.entriesOfCallers = callers();
        scenario.kinds()
                .forEach(kind -> sharedWeights.add(kind.shared().stream()
                        .map(part -> Draws.skewed(part.things(), part.skew()))
                        .toArray(double[][]::new)));
    }

    private int[][] callers() {
        Scenario.Accounts accounts = scenario.accounts();
        int[][] callers = new int[accounts.count()][];
        for (int account = 0; account < accounts.count(); account++) {
            callers[account] = new int[Math.max(1, (int) Math.round(weights[account] * accounts.callers()))];
            int one = calls.nextInt(scenario.fleet().entries());
            for (int caller = 0; caller < callers[account].length; caller++) {
                boolean together = account >= accounts.stuck();
                callers[account][caller] =
                        together ? one : calls.nextInt(scenario.fleet().entries());
            }
        }
        return callers;
    }

    /** Plays the day, and some time more in which what began comes to its end. */
    LoadTally play() {
        for (int kind = 0; kind < scenario.kinds().size(); kind++) {
            planNext(kind, 0);
        }
        time.runUntil(scenario.seconds() * SECOND_MILLIS + AFTER_MILLIS);
        fleet.close();
        return tally;
    }

    private void planNext(int kind, double fromMillis) {
        double most =
                scenario.kinds().get(kind).perSecond() * (1 + scenario.fleet().waveSwing()) * mostFactor();
        double at = fromMillis - Math.log(1 - calls.nextDouble()) * SECOND_MILLIS / most;
        if (at < scenario.seconds() * SECOND_MILLIS) {
            time.at(at, () -> {
                if (calls.nextDouble() * most < rate(kind)) {
                    begin(kind);
                }
                planNext(kind, at);
            });
        }
    }

    private double mostFactor() {
        double most = 1;
        for (Scenario.Burst burst : scenario.bursts()) {
            double part = burst.account() < 0 ? 1 : weights[burst.account()];
            most += Math.max(0, burst.factor() - 1) * part;
        }
        return most;
    }

    private double rate(int kind) {
        double sum = 0;
        for (double weight : weightsNow()) {
            sum += weight;
        }
        double turns = time.now() / SECOND_MILLIS / scenario.fleet().wavePeriodSeconds();
        double wave = 1 + scenario.fleet().waveSwing() * Math.sin(2 * Math.PI * turns);
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
                boolean meant = burst.account() < 0 || burst.account() == account;
                now[account] *= meant ? burst.factor() : 1;
            }
        }
        return now;
    }

    private void begin(int number) {
        Scenario.Kind kind = scenario.kinds().get(number);
        int account = Draws.index(calls, weightsNow());
        int[] callers = entriesOfCallers[account];
        int entry = callers[calls.nextInt(callers.length)];
        Call call = new Call(kind, prompt(number, kind), answerTokens(kind), time.now());
        time.at(call.deadlineMillis(), () -> fleet.ended(call, Call.Outcome.FAILED));
        long elsewhere = calls.nextLong();
        tryAt(fleet.entries().get(entry), call, elsewhere);
    }

    private void tryAt(ModelEntry entry, Call call, long elsewhere) {
        int before = call.tryAgain();
        entry.take(call, after -> {
            double left = Math.max(0, call.deadlineMillis() - time.now());
            if (before > 0) {
                fleet.ended(call, Call.Outcome.REFUSED);
                return;
            }
            double pause = Math.min(after, left / CALLERS_PART_OF_TIME);
            int other = (int) Math.floorMod(elsewhere, (long) fleet.entries().size());
            time.after(pause, () -> tryAt(fleet.entries().get(other), call, elsewhere));
        });
    }

    private int answerTokens(Scenario.Kind kind) {
        return kind.engine() ? (int) Math.max(1, Draws.spread(calls, kind.answerTokens(), kind.answerSpread())) : 0;
    }

    private Prompt prompt(int number, Scenario.Kind kind) {
        if (!kind.engine()) {
            return Prompt.NONE;
        }
        List<PromptPart> parts = new ArrayList<>();
        long tokens = 0;
        for (int i = 0; i < kind.shared().size(); i++) {
            int thing = Draws.index(calls, sharedWeights.get(number)[i]);
            long length = (long) kind.shared().get(i).tokens();
            parts.add(new PromptPart(kind.name() + "-" + i + "-" + thing, length));
            tokens += length;
        }
        long own = (long) Math.max(1, Draws.spread(calls, kind.ownTokens(), kind.ownSpread()));
        parts.add(new PromptPart("own-" + calls.nextLong(), own));
        long answer = (long) kind.answerTokens();
        return new Prompt(parts, tokens + own, 2 * answer, answer);
    }
}
