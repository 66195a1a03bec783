package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * A simulation of one entry, its replicas and the streams in progress, beside replicas or connections that fall silent.
 * It compares what an entry does with a stream from which nothing was heard for a while.
 */
final class SilenceSimulation {
    static final double DAY_MILLIS = 120_000;
    private static final int REPLICAS = 4;
    private static final int SLOTS = 24;
    private static final double ARRIVALS_PER_SECOND = 40;
    private static final int EVENTS = 40;
    private static final double EVENT_MILLIS = 25;
    private static final double TARGET_MILLIS = 1_600;
    private static final double TIMEOUT_MILLIS = 4_000;
    private static final double CHECK_MILLIS = 200;
    private static final double CONNECT_MILLIS = 2;
    private static final double AVOID_MILLIS = 1_000;
    /** Shorter than the time for which a replica may still work on a request that continues elsewhere. */
    private static final double HOLD_MILLIS = 300;

    private static final double MAX_FORMER_WORK_MILLIS = 400;
    private static final int MAX_ATTEMPTS = 2;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_SLACK = 10;
    private static final double RETRY_WINDOW_MILLIS = 10_000;
    /** Part of the callers whose account can't pay a second run. */
    private static final double SHORT_OF_TOKENS = 0.1;

    /** What an entry does with an attempt that is silent. */
    enum Reaction {
        /** Cancels the attempt, then looks for a second one. */
        END,
        /** Continues the attempt until a second one is possible, and cancels it once that is written. */
        KEEP_UNTIL_SECOND,
        /** As before, but cancels the attempt a moment later, unless the second one has broken off by then. */
        HOLD_BRIEFLY,
        /** Starts a second one beside it; the one that brings the next event first stays. */
        RACE
    }

    /** A reaction and the time after which an attempt counts as silent. */
    record Way(String name, Reaction reaction, double silentAfterMillis) {}

    /**
     * Silences of a day.
     *
     * @param millis length of each; negative if all open connections of the replicas fall silent for good, while the
     *     replicas work on and accept new ones
     * @param replicas how many replicas are affected at once
     * @param everyMillis time from one silence to the next
     */
    record Silences(double millis, int replicas, double everyMillis) {
        boolean forGood() {
            return millis < 0;
        }
    }

    /**
     * How replicas run streams.
     *
     * @param promptMillis time to read a prompt
     * @param breaking part of the runs that break off instead of sending their first event
     */
    record Runs(double promptMillis, double breaking) {}

    /** Counts of a day. */
    static final class Counts {
        int asked;
        int inTime;
        int late;
        double lateMillis;
        int cut;
        int refused;
        int secondRuns;
        /** Runs on which a replica still worked some time after the stream had been given to another one. */
        int formerStillWorking;

        double vainMillis;

        void add(Counts other) {
            asked += other.asked;
            inTime += other.inTime;
            late += other.late;
            lateMillis += other.lateMillis;
            cut += other.cut;
            refused += other.refused;
            secondRuns += other.secondRuns;
            formerStillWorking += other.formerStillWorking;
            vainMillis += other.vainMillis;
        }
    }

    private static final class ModelReplica {
        private double silentUntilMillis;
        private double avoidedUntilMillis;
        private final List<Attempt> attempts = new ArrayList<>();
    }

    /** A run of a stream at a replica. */
    private static final class Attempt {
        private final ModelReplica replica;
        private final boolean breaking;
        private int event;
        private double heardMillis;
        private boolean unheard;
        private boolean ended;

        private Attempt(ModelReplica replica, boolean breaking, int event, double nowMillis) {
            this.replica = replica;
            this.breaking = breaking;
            this.event = event;
            this.heardMillis = nowMillis;
        }
    }

    private final class Stream {
        private final double arrivedMillis = time.now();
        private final boolean paysSecondRun = random.nextDouble() >= SHORT_OF_TOKENS;
        private final List<Boolean> breaking = drawBreaking();
        private final List<Attempt> running = new ArrayList<>();
        private int attempts;
        private int received;
        private boolean ended;

        private void start() {
            counts.asked++;
            Optional<ModelReplica> replica = choose(null);
            if (replica.isEmpty()) {
                ended = true;
                counts.refused++;
                return;
            }
            arrivals.add(time.now());
            send(replica.get());
            time.after(TIMEOUT_MILLIS, this::cut);
            time.after(CHECK_MILLIS, this::check);
        }

        private Attempt send(ModelReplica replica) {
            Attempt attempt = new Attempt(replica, breaking.get(attempts), received, time.now());
            attempts++;
            replica.attempts.add(attempt);
            running.add(attempt);
            time.after(CONNECT_MILLIS, () -> work(attempt, runs.promptMillis()));
            return attempt;
        }

        private void work(Attempt attempt, double millis) {
            if (attempt.replica.silentUntilMillis > time.now()) {
                time.at(attempt.replica.silentUntilMillis, () -> work(attempt, millis));
            } else if (attempt.ended) {
                attempt.replica.attempts.remove(attempt);
            } else {
                time.after(millis, () -> finishPiece(attempt, millis));
            }
        }

        private void finishPiece(Attempt attempt, double millis) {
            if (attempt.replica.silentUntilMillis > time.now()) {
                time.at(attempt.replica.silentUntilMillis, () -> finishPiece(attempt, millis));
                return;
            }
            if (attempt.ended) {
                attempt.replica.attempts.remove(attempt);
                counts.vainMillis += millis;
                return;
            }
            if (attempt.breaking && !attempt.unheard) {
                breakOff(attempt);
                return;
            }
            attempt.event++;
            if (attempt.unheard) {
                counts.vainMillis += millis;
            } else {
                receive(attempt);
            }
            if (attempt.event >= EVENTS) {
                attempt.replica.attempts.remove(attempt);
            } else {
                work(attempt, EVENT_MILLIS);
            }
        }

        /** Goes on with another run that is still open, or with a new one. */
        private void breakOff(Attempt attempt) {
            attempt.replica.attempts.remove(attempt);
            cancel(attempt);
            if (ended || !running.isEmpty()) {
                return;
            }
            Optional<ModelReplica> next = secondPossible() ? choose(attempt) : Optional.empty();
            if (next.isPresent()) {
                takeRetry();
                send(next.get());
            } else {
                cut();
            }
        }

        private void receive(Attempt attempt) {
            attempt.heardMillis = time.now();
            attempt.replica.avoidedUntilMillis = 0;
            for (Attempt other : List.copyOf(running)) {
                if (other != attempt) {
                    cancel(other);
                }
            }
            received = attempt.event;
            if (received >= EVENTS) {
                ended = true;
                recordWhole(time.now() - arrivedMillis);
            }
        }

        private void recordWhole(double millis) {
            if (millis <= TARGET_MILLIS) {
                counts.inTime++;
            } else {
                counts.late++;
                counts.lateMillis += millis;
            }
        }

        private void check() {
            if (ended) {
                return;
            }
            time.after(CHECK_MILLIS, this::check);
            boolean silent =
                    running.stream().allMatch(each -> time.now() - each.heardMillis >= way.silentAfterMillis());
            if (!silent || running.isEmpty()) {
                return;
            }
            Attempt last = running.get(running.size() - 1);
            if (!last.unheard) {
                last.replica.avoidedUntilMillis = time.now() + AVOID_MILLIS;
            }
            if (way.reaction() == Reaction.END) {
                cancel(last);
            }
            Optional<ModelReplica> second = secondPossible() ? choose(last) : Optional.empty();
            if (second.isPresent()) {
                takeRetry();
                send(second.get());
                endFormer(last);
            } else if (way.reaction() == Reaction.END) {
                cut();
            }
        }

        private void endFormer(Attempt first) {
            if (way.reaction() == Reaction.KEEP_UNTIL_SECOND) {
                time.after(CONNECT_MILLIS, () -> cancelIfStillSilent(first));
            } else if (way.reaction() == Reaction.HOLD_BRIEFLY) {
                time.after(HOLD_MILLIS, () -> cancelIfStillSilent(first));
            }
            Attempt second = running.get(running.size() - 1);
            time.after(CONNECT_MILLIS + MAX_FORMER_WORK_MILLIS, () -> {
                boolean bothOpen = !first.ended && !second.ended;
                counts.formerStillWorking += bothOpen && first.replica.silentUntilMillis <= time.now() ? 1 : 0;
            });
        }

        private void cancelIfStillSilent(Attempt first) {
            if (!ended && running.size() > 1) {
                cancel(first);
            }
        }

        private boolean secondPossible() {
            return attempts < MAX_ATTEMPTS && paysSecondRun && retriesLeft();
        }

        private void cancel(Attempt attempt) {
            attempt.ended = true;
            running.remove(attempt);
        }

        private void cut() {
            if (!ended) {
                ended = true;
                counts.cut++;
                List.copyOf(running).forEach(this::cancel);
            }
        }
    }

    private final SimulatedClock time = new SimulatedClock();
    private final Random random;
    private final Random breaks;
    private final Way way;
    private final Silences silences;
    private final Runs runs;
    private final Counts counts = new Counts();
    private final List<ModelReplica> replicas = new ArrayList<>();
    private final Deque<Double> arrivals = new ArrayDeque<>();
    private final Deque<Double> retries = new ArrayDeque<>();

    SilenceSimulation(Way way, Silences silences, Runs runs, long seed) {
        this.way = way;
        this.silences = silences;
        this.runs = runs;
        this.random = new Random(seed);
        this.breaks = new Random(seed);
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new ModelReplica());
        }
    }

    /** Plays a day. */
    Counts run() {
        Random arrivalTimes = new Random(random.nextLong());
        double atMillis = 0;
        while (atMillis < DAY_MILLIS) {
            time.at(atMillis, () -> new Stream().start());
            atMillis -= Math.log(1 - arrivalTimes.nextDouble()) * 1_000 / ARRIVALS_PER_SECOND;
        }
        Random silenced = new Random(random.nextLong());
        for (double at = silences.everyMillis(); at < DAY_MILLIS; at += silences.everyMillis()) {
            int first = silenced.nextInt(REPLICAS);
            time.at(at, () -> fallSilent(first));
        }
        time.runUntil(DAY_MILLIS + 2 * TIMEOUT_MILLIS);
        return counts;
    }

    private void fallSilent(int first) {
        for (int i = 0; i < silences.replicas(); i++) {
            ModelReplica replica = replicas.get((first + i) % REPLICAS);
            if (silences.forGood()) {
                replica.attempts.forEach(each -> each.unheard = true);
            } else {
                replica.silentUntilMillis = time.now() + silences.millis();
            }
        }
    }

    private Optional<ModelReplica> choose(@Nullable Attempt silent) {
        return replicas.stream()
                .filter(each -> silent == null || each != silent.replica || silent.unheard)
                .filter(each -> each.avoidedUntilMillis <= time.now() && each.attempts.size() < SLOTS)
                .min(Comparator.comparingInt(each -> each.attempts.size()));
    }

    private List<Boolean> drawBreaking() {
        return IntStream.range(0, MAX_ATTEMPTS)
                .mapToObj(each -> breaks.nextDouble() < runs.breaking())
                .toList();
    }

    private boolean retriesLeft() {
        return within(retries) + 1 <= RETRY_RATIO * within(arrivals) + RETRY_SLACK;
    }

    private void takeRetry() {
        retries.add(time.now());
        counts.secondRuns++;
    }

    private int within(Deque<Double> times) {
        while (!times.isEmpty() && times.peekFirst() <= time.now() - RETRY_WINDOW_MILLIS) {
            times.removeFirst();
        }
        return times.size();
    }
}
