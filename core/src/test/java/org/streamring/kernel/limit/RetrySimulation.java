package org.streamring.kernel.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates entries that share a limit on retries, while replicas reject most requests. Entries join, restart in
 * series, and are cut off from the store and from each other. Retries wait before they are sent, and take different
 * times to arrive; they are counted where they arrive.
 */
final class RetrySimulation {
    static final double RATIO = 0.2;
    static final double SLACK = 50;
    static final long WINDOW_MILLIS = 10_000;
    private static final long DURATION_MILLIS = 90_000;
    private static final long VIEW_INTERVAL_MILLIS = 2_000;
    private static final long MAX_TRANSIT_MILLIS = 400;
    private static final long MAX_WAIT_MILLIS = 6_000;
    private static final double REJECTED_SHARE = 0.9;
    /** Time after which other entries no longer count one that is cut off or down, where they count only live ones. */
    private static final long LIVE_MILLIS = 6_000;

    private static final long BETWEEN_JOINS_MILLIS = 25_000;

    /** How entries divide the limit. */
    enum Way {
        /** Each process has its share of live entries at once; a retry counts when it is granted. */
        SHARE_OF_EACH_PROCESS,
        /** The production classes: no slack for one window after a start, and retries count when they are sent. */
        NO_SLACK_AT_START,
        /**
         * As {@link #NO_SLACK_AT_START}, but a process that reaches another entry continues with the budget of its
         * predecessor, as if each request and retry had been told to others without delay.
         */
        TOLD_BY_OTHERS
    }

    /** Result of one seed. */
    record Result(double worstExcess, long wanted, long sent, long wantedAfterStart, long sentAfterStart) {}

    private record Event(long atMillis, Runnable action) {}

    private final Random random;
    private final Way way;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final List<Entry> entries = new ArrayList<>();
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private long nowMillis;
    private long wanted;
    private long sent;
    private long wantedAfterStart;
    private long sentAfterStart;

    RetrySimulation(long seed, Way way) {
        this.random = new Random(seed);
        this.way = way;
        int count = 2 + random.nextInt(7);
        for (int each = 0; each < count; each++) {
            entries.add(new Entry());
        }
    }

    private final class Entry {
        private long startMillis;
        private long lifeStartMillis;
        private boolean running = true;
        private long cutUntilMillis;
        private long unseenSinceMillis = Long.MAX_VALUE;
        private FleetShare.View seen = new FleetShare.View(0, 0, FleetShare.Start.RESTARTED);
        private long seenMillis;
        private final Deque<Long> grantedHere = new ArrayDeque<>();
        private final Deque<Long> requestsHere = new ArrayDeque<>();
        private FleetRetryBudget budget = newBudget();
        private FleetShare.Start start = FleetShare.Start.JOINED;
        private int life;

        private FleetRetryBudget newBudget() {
            FleetShare share = new FleetShare(
                    () -> new FleetShare.View(seen.entries(), nowMillis - seenMillis, start),
                    () -> nowMillis - startMillis);
            return new FleetRetryBudget(RATIO, SLACK, WINDOW_MILLIS, share);
        }

        private boolean reachable() {
            return running && nowMillis >= cutUntilMillis;
        }

        private void readEntries() {
            if (reachable()) {
                int live = (int) entries.stream()
                        .filter(each -> each == this
                                || way != Way.SHARE_OF_EACH_PROCESS
                                || each.reachable()
                                || nowMillis - each.unseenSinceMillis < LIVE_MILLIS)
                        .count();
                seen = new FleetShare.View(live, 0, FleetShare.Start.RESTARTED);
                seenMillis = nowMillis;
            }
            at(VIEW_INTERVAL_MILLIS, this::readEntries);
        }

        private void kill(long downMillis) {
            running = false;
            unseenSinceMillis = nowMillis;
            life++;
            at(downMillis, this::start);
        }

        private void start() {
            running = true;
            lifeStartMillis = nowMillis;
            boolean told = way == Way.TOLD_BY_OTHERS
                    && reachable()
                    && entries.stream().anyMatch(each -> each != this && each.reachable());
            if (told) {
                return;
            }
            startMillis = nowMillis;
            start = FleetShare.Start.RESTARTED;
            seen = new FleetShare.View(way != Way.SHARE_OF_EACH_PROCESS ? 0 : 1, 0, FleetShare.Start.RESTARTED);
            grantedHere.clear();
            requestsHere.clear();
            budget = newBudget();
        }

        private void request() {
            if (!running) {
                return;
            }
            requestsHere.addLast(nowMillis);
            budget.request(nowMillis);
            if (random.nextDouble() < REJECTED_SHARE) {
                int process = life;
                at(random.nextInt(200), () -> {
                    if (process == life) {
                        wantsRetry();
                    }
                });
            }
        }

        private void wantsRetry() {
            boolean afterStart = nowMillis - lifeStartMillis < WINDOW_MILLIS && lifeStartMillis > 0;
            wanted++;
            wantedAfterStart += afterStart ? 1 : 0;
            long wait = random.nextInt(4) == 0 ? random.nextLong(MAX_WAIT_MILLIS) : random.nextInt(50);
            int process = life;
            if (way != Way.SHARE_OF_EACH_PROCESS) {
                Optional<FleetRetryBudget.Grant> grant = budget.tryRetry(nowMillis);
                grant.ifPresent(each -> at(wait, () -> {
                    if (process == life) {
                        each.sent(nowMillis);
                        send(afterStart);
                    } else {
                        each.giveBack();
                    }
                }));
            } else if (tryGrantAtOnce()) {
                at(wait, () -> {
                    if (process == life) {
                        send(afterStart);
                    }
                });
            }
        }

        /** Decides without the production classes, by the share of live entries. */
        private boolean tryGrantAtOnce() {
            dropUntil(requestsHere, nowMillis - WINDOW_MILLIS);
            dropUntil(grantedHere, nowMillis - WINDOW_MILLIS);
            double allowed = 0.8 * (RATIO * requestsHere.size() + SLACK / Math.max(1, seen.entries()));
            if (grantedHere.size() + 1 > allowed) {
                return false;
            }
            grantedHere.addLast(nowMillis);
            return true;
        }

        private void send(boolean afterStart) {
            sent++;
            sentAfterStart += afterStart ? 1 : 0;
            arrivals.add(nowMillis + random.nextLong(MAX_TRANSIT_MILLIS));
        }
    }

    private static void dropUntil(Deque<Long> times, long limit) {
        while (!times.isEmpty() && times.peekFirst() <= limit) {
            times.removeFirst();
        }
    }

    private void at(long inMillis, Runnable action) {
        events.add(new Event(nowMillis + inMillis, action));
    }

    Result simulate() {
        entries.forEach(each -> at(random.nextLong(VIEW_INTERVAL_MILLIS), each::readEntries));
        double perSecond = 3 + random.nextInt(40);
        at(20_000, () -> nextRequest(perSecond));
        at(25_000, this::nextFault);
        at(BETWEEN_JOINS_MILLIS + random.nextLong(10_000), this::nextJoin);
        while (!events.isEmpty() && events.peek().atMillis() < DURATION_MILLIS) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        return new Result(worstExcess(), wanted, sent, wantedAfterStart, sentAfterStart);
    }

    private void nextRequest(double perSecond) {
        requests.add(nowMillis);
        entries.get(random.nextInt(entries.size())).request();
        at(1 + (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond), () -> nextRequest(perSecond));
    }

    private void nextJoin() {
        Entry joining = new Entry();
        joining.startMillis = nowMillis;
        entries.add(joining);
        joining.readEntries();
        at(BETWEEN_JOINS_MILLIS + random.nextLong(10_000), this::nextJoin);
    }

    private void nextFault() {
        Entry entry = entries.get(random.nextInt(entries.size()));
        if (random.nextInt(3) == 0) {
            long cutOff = entries.stream().filter(each -> !each.reachable()).count();
            if (2 * (cutOff + 1) <= entries.size()) {
                entry.cutUntilMillis = nowMillis + 2_000 + random.nextInt(30_000);
                entry.unseenSinceMillis = nowMillis;
            }
        } else if (entry.running) {
            entry.kill(300 + random.nextInt(2_000));
        }
        at(300 + random.nextInt(3_000), this::nextFault);
    }

    private double worstExcess() {
        List<Long> sorted = arrivals.stream().sorted().toList();
        double worst = Double.NEGATIVE_INFINITY;
        for (int last = 0; last < sorted.size(); last++) {
            long end = sorted.get(last);
            long inWindow = within(sorted, end);
            long requested = Math.max(
                    within(requests, end),
                    Math.max(within(requests, end - WINDOW_MILLIS), within(requests, end - WINDOW_MILLIS / 2)));
            worst = Math.max(worst, inWindow - (RATIO * requested + SLACK));
        }
        return worst;
    }

    private static long within(List<Long> sorted, long end) {
        return firstAfter(sorted, end) - (long) firstAfter(sorted, end - WINDOW_MILLIS);
    }

    private static int firstAfter(List<Long> sorted, long limit) {
        int low = 0;
        int high = sorted.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (sorted.get(middle) <= limit) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
