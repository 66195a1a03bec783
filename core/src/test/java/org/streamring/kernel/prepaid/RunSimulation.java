package org.streamring.kernel.prepaid;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates the requests of one account until it is used up. Replicas generate tokens step by step; runs complete, lose
 * their answers, are reset midway, or are cancelled while their replica notices it at once, later or not at all. The
 * entry dies and freezes in between. What replicas generate is compared with the limit at each step.
 */
final class RunSimulation {
    private static final long LIMIT = 100_000;
    private static final int TOKENS_PER_EVENT = 5;
    private static final int MAX_RUNS = 2;
    private static final int STEPS = 6_000;
    private static final int PARALLEL = 12;
    /** Tokens that are counted for a cancelled run beyond those received, where they are estimated. */
    private static final long ESTIMATED_AFTER_CANCEL = 30L * TOKENS_PER_EVENT;

    /** How the runs of a request are covered. */
    enum Way {
        /** One maximum for all runs; cancelled ones are estimated. */
        ONE_MAXIMUM,
        /** One maximum for all runs; what they used beyond it is taken from what is left. */
        ONE_MAXIMUM_AND_DEBT,
        /** The maximum of all runs that the route allows, before the first. */
        ALL_RUNS_AT_FIRST,
        /** The production class: the maximum of each run, before it begins. */
        EACH_RUN
    }

    private enum Fate {
        COMPLETE,
        LOST,
        RESET_MIDWAY,
        CANCELLED
    }

    /** Result of one seed. */
    record Result(long worstExcess, long handedOut, long refusedRetries, long retries) {}

    private final Random random;
    private final Way way;
    private final Map<Fate, Double> fateShares = new EnumMap<>(Fate.class);
    private final double followedShare;
    private final List<Request> requests = new ArrayList<>();
    private long reservedOrSpent;
    private long handedOut;
    private long worstExcess = Long.MIN_VALUE;
    private long refusedRetries;
    private long retries;
    private boolean frozen;

    RunSimulation(long seed, Way way) {
        this.random = new Random(seed);
        this.way = way;
        fateShares.put(Fate.LOST, random.nextDouble());
        fateShares.put(Fate.RESET_MIDWAY, random.nextDouble());
        fateShares.put(Fate.CANCELLED, random.nextDouble());
        this.followedShare = random.nextDouble();
    }

    private final class Request {
        private final long prompt = 50 + random.nextLong(800);
        private final long maxAnswer = 100 + random.nextLong(1_500);
        private final RequestUsage usage = new RequestUsage(prompt, maxAnswer);
        private long reserved;
        private long receivedBefore;
        private int runs;
        private Fate fate = Fate.COMPLETE;
        private long generatedInRun;
        private long receivedInRun;
        private long targetOfRun;
        private int stepsAfterCancel = -1;
        private boolean followed;
        private boolean orphaned;

        private boolean begin() {
            long needed = needed();
            if (reservedOrSpent + needed > LIMIT) {
                return false;
            }
            reservedOrSpent += needed;
            reserved += needed;
            if (runs == 0) {
                handedOut += prompt;
            }
            runs++;
            fate = drawFate();
            generatedInRun = 0;
            receivedInRun = 0;
            long whole = random.nextBoolean() ? maxAnswer : maxAnswer - random.nextLong(1 + maxAnswer / 2);
            targetOfRun = fate == Fate.RESET_MIDWAY ? whole / 2 : whole;
            stepsAfterCancel = -1;
            return true;
        }

        private long needed() {
            if (way == Way.EACH_RUN) {
                return Math.max(0, usage.neededForNextRun() - reserved);
            }
            if (runs > 0) {
                return 0;
            }
            return prompt + maxAnswer * (way == Way.ALL_RUNS_AT_FIRST ? MAX_RUNS : 1);
        }

        private Fate drawFate() {
            double drawn = random.nextDouble() * 3;
            for (Map.Entry<Fate, Double> each : fateShares.entrySet()) {
                drawn -= each.getValue();
                if (drawn < 0) {
                    return each.getKey();
                }
            }
            return Fate.COMPLETE;
        }

        /** Lets the replica generate one event; returns whether the request is over. */
        private boolean step() {
            boolean generates = generatedInRun < targetOfRun;
            if (generates) {
                long size = random.nextInt(5) == 0 ? 1 + random.nextInt(TOKENS_PER_EVENT) : TOKENS_PER_EVENT;
                long tokens = Math.min(size, targetOfRun - generatedInRun);
                generatedInRun += tokens;
                handedOut += tokens;
                boolean arrives = fate != Fate.LOST && random.nextInt(20) > 0 && !orphaned;
                if (arrives && generatedInRun > 0) {
                    receivedInRun += TOKENS_PER_EVENT;
                }
            }
            if (orphaned) {
                return !generates;
            }
            if (frozen) {
                return false;
            }
            if (stepsAfterCancel >= 0) {
                return continueAfterCancel(generates);
            }
            if (fate == Fate.CANCELLED && random.nextInt(40) == 0) {
                stepsAfterCancel = 0;
                followed = random.nextDouble() < followedShare;
                return false;
            }
            return !generates && endOfRun();
        }

        private boolean continueAfterCancel(boolean generates) {
            stepsAfterCancel++;
            if (followed) {
                receivedInRun = Math.max(receivedInRun, generatedInRun + TOKENS_PER_EVENT);
                settle(true);
                return true;
            }
            if (stepsAfterCancel == 1) {
                settle(false);
            }
            return !generates || stepsAfterCancel > 80;
        }

        private boolean endOfRun() {
            if (fate == Fate.COMPLETE || fate == Fate.CANCELLED) {
                receivedInRun = Math.max(receivedInRun, generatedInRun);
                settle(true);
                return true;
            }
            usage.received(receivedInRun);
            usage.runUnknown();
            receivedBefore += receivedInRun;
            if (runs < MAX_RUNS) {
                retries++;
                if (begin()) {
                    return false;
                }
                refusedRetries++;
            }
            settleUsed(usage.used());
            return true;
        }

        private void settle(boolean known) {
            usage.received(receivedInRun);
            if (known) {
                usage.runReceived();
            } else {
                usage.runUnknown();
            }
            settleUsed(way == Way.EACH_RUN || way == Way.ALL_RUNS_AT_FIRST ? usage.used() : estimate(known));
        }

        private long estimate(boolean known) {
            long received = receivedBefore + receivedInRun + (known ? 0 : ESTIMATED_AFTER_CANCEL);
            boolean earlierUnknown = runs > 1;
            if (way == Way.ONE_MAXIMUM_AND_DEBT) {
                return usage.used();
            }
            return prompt + (earlierUnknown ? maxAnswer : Math.min(maxAnswer, received));
        }

        private void settleUsed(long used) {
            long counted = way == Way.ONE_MAXIMUM_AND_DEBT ? used : Math.min(used, reserved);
            reservedOrSpent += counted - reserved;
            reserved = 0;
        }
    }

    Result simulate() {
        for (int step = 0; step < STEPS; step++) {
            faults();
            while (!frozen && requests.size() < PARALLEL) {
                Request request = new Request();
                if (!request.begin()) {
                    break;
                }
                requests.add(request);
            }
            Iterator<Request> each = requests.iterator();
            while (each.hasNext()) {
                if (each.next().step()) {
                    each.remove();
                }
            }
            worstExcess = Math.max(worstExcess, handedOut - LIMIT);
        }
        return new Result(worstExcess, handedOut, refusedRetries, retries);
    }

    private void faults() {
        if (random.nextInt(300) == 0) {
            frozen = !frozen;
        }
        if (random.nextInt(5_000) == 0) {
            requests.forEach(each -> each.orphaned = true);
        }
    }
}
