package org.streamring.kernel.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.streamring.kernel.permit.LimitDivisionStrategies.FixedShareStrategy;
import org.streamring.kernel.permit.LimitDivisionStrategies.PermitStrategy;
import org.streamring.kernel.permit.LimitDivisionStrategies.Strategy;

/**
 * Simulates backend servers that announce, change and end limits. Entries are killed and restarted, freeze, join, and
 * lose connections to each other in one direction; they read the members at different times; frames are delayed;
 * answers are reordered or lost. Counts the windows in which a server receives more requests than its limit allows.
 */
final class LimitSimulation {
    /** Strategy for dividing the limits. */
    enum Division {
        PERMITS,
        THREE_OWNERS,
        EVEN_PARTS
    }

    private static final long SIMULATED_MILLIS = 60_000;
    private static final long RETRY_INTERVAL_MILLIS = 15;
    private static final long LONGEST_WAIT_MILLIS = 160;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final double[] LIMITS = {0, 0.05, 0.3, 1, 1.2, 3, 8, 40};

    private final Random random;
    private final Division division;
    private final boolean skewed;
    private final PriorityQueue<Event> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Box> boxes = new ArrayList<>();
    private final List<CountingServer> servers = new ArrayList<>();
    private final double requestsPerSecond;
    private long now;
    private long events;
    private long frames;
    private int refused;

    private record Event(long at, long number, Runnable action) {}

    /** A box and the process of its entry. */
    private final class Box implements PermitLink {
        private final String name;
        private final double requestRate;
        private int startCount;
        private boolean alive;
        private long frozeAt;
        private long frozenUntil;
        private Set<String> view = Set.of();
        private final Set<Box> unreachable = new HashSet<>();
        private final Map<Box, Long> cutSince = new HashMap<>();
        private PermitCoordinator coordinator;
        private Strategy strategy;

        private Box(String name, double requestRate) {
            this.name = name;
            this.requestRate = requestRate;
        }

        private void start() {
            alive = true;
            startCount++;
            view = Set.of();
            coordinator = new PermitCoordinator(name, this, new NoOpLimitEvents());
            strategy = switch (division) {
                case PERMITS -> new PermitStrategy(coordinator);
                case THREE_OWNERS -> new FixedShareStrategy(name, () -> view, 3, 6);
                case EVEN_PARTS -> new FixedShareStrategy(name, () -> view, boxes.size(), 2.0 * boxes.size());
            };
            int started = startCount;
            scheduleFirstMemberRead(started);
            scheduleConnectionChecks(started);
            scheduleArrivals(started);
        }

        private void stop() {
            alive = false;
            forgetAnnouncements();
        }

        private void forgetAnnouncements() {
            servers.forEach(server -> server.forgetAnnouncement(name));
        }

        /**
         * Schedules an action of this process: delayed until the end of a freeze, and dropped if the process has ended.
         */
        private void schedule(int ofStart, long millis, Runnable action) {
            after(millis, () -> {
                if (ofStart != startCount || !alive) {
                    return;
                }
                if (now < frozenUntil) {
                    schedule(ofStart, frozenUntil - now, action);
                } else {
                    action.run();
                }
            });
        }

        private void scheduleFirstMemberRead(int ofStart) {
            schedule(ofStart, 100L + random.nextInt(400), () -> {
                view = liveEntries();
                scheduleMemberReads(ofStart);
            });
        }

        private void scheduleMemberReads(int ofStart) {
            schedule(ofStart, 2_000L + 20L * boxes.size(), () -> {
                view = liveEntries();
                scheduleMemberReads(ofStart);
            });
        }

        private void scheduleConnectionChecks(int ofStart) {
            schedule(ofStart, 250, () -> {
                checkConnections();
                scheduleConnectionChecks(ofStart);
            });
        }

        private void checkConnections() {
            Set<String> connected = boxes.stream()
                    .filter(each -> each != this && isConnected(each))
                    .map(each -> each.name)
                    .collect(Collectors.toSet());
            Set<String> owners = new HashSet<>(view);
            if (!view.isEmpty()) {
                owners.addAll(connected);
                owners.add(name);
            }
            coordinator.entries(owners, connected, now);
        }

        private boolean isConnected(Box other) {
            boolean unresponsive = other.frozenUntil - now > 0 && now - other.frozeAt > HEARTBEAT_MILLIS;
            boolean cut = now - cutSince.getOrDefault(other, now) > HEARTBEAT_MILLIS
                    || now - other.cutSince.getOrDefault(this, now) > HEARTBEAT_MILLIS;
            return other.alive && !unresponsive && !cut;
        }

        private void freeze(long millis) {
            frozeAt = now;
            frozenUntil = now + millis;
            forgetAnnouncements();
        }

        private void scheduleArrivals(int ofStart) {
            schedule(ofStart, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / requestRate), () -> {
                place(now);
                scheduleArrivals(ofStart);
            });
        }

        private void place(long arrivedAt) {
            List<CountingServer> open = new ArrayList<>(servers);
            open.removeIf(server -> !strategy.takes(server.name(), now));
            if (open.isEmpty()) {
                waitOrRefuse(arrivedAt);
                return;
            }
            CountingServer chosen = open.get(random.nextInt(open.size()));
            strategy.place(chosen.name(), now);
            long connecting = random.nextInt(4) == 0 ? random.nextInt(500) : 0;
            schedule(startCount, connecting, () -> send(chosen, arrivedAt));
        }

        private void waitOrRefuse(long arrivedAt) {
            if (now - arrivedAt >= LONGEST_WAIT_MILLIS) {
                refused++;
            } else {
                schedule(startCount, RETRY_INTERVAL_MILLIS, () -> place(arrivedAt));
            }
        }

        private void send(CountingServer server, long arrivedAt) {
            if (!strategy.mayBeSent(server.name(), now)) {
                place(arrivedAt);
                return;
            }
            long sentAt = now;
            int ofStart = startCount;
            after(networkDelay(), () -> {
                server.arrived(name, now);
                long serviceTimeMillis = 20L + random.nextInt(random.nextInt(10) == 0 ? 3_000 : 200);
                after(serviceTimeMillis, () -> {
                    LimitWord notice = server.notice();
                    if (random.nextInt(10) > 0) {
                        schedule(ofStart, networkDelay(), () -> receiveAnswer(server, notice, sentAt));
                    }
                });
            });
        }

        private void receiveAnswer(CountingServer server, LimitWord notice, long sentAt) {
            strategy.answered(server.name(), notice, sentAt, now);
            server.informed(name, notice, now);
        }

        @Override
        public void sendRequest(String entry, long number, PermitAsk ask) {
            int ofStart = startCount;
            schedule(ofStart, PermitCoordinator.TIMEOUT_MILLIS, () -> coordinator.retryTimedOut(now));
            deliver(entry, other -> {
                PermitGrant grant = other.coordinator.answerRequest(name, ask, now);
                other.deliver(name, requester -> {
                    if (requester.startCount == ofStart) {
                        requester.coordinator.granted(number, grant, now);
                    }
                });
            });
        }

        @Override
        public void sendUpdate(String entry, LimitNews update) {
            deliver(entry, other -> other.coordinator.applyUpdate(name, update, now));
        }

        private void deliver(String to, Consumer<Box> frame) {
            Box other = boxes.stream()
                    .filter(each -> each.name.equals(to))
                    .findFirst()
                    .orElseThrow();
            frames++;
            if (unreachable.contains(other)) {
                return;
            }
            long delay = random.nextInt(50) == 0 ? random.nextInt(3_000) : 0;
            other.schedule(other.startCount, networkDelay() + delay, () -> frame.accept(other));
        }
    }

    /**
     * Creates a simulation.
     *
     * @param skewed whether one entry receives a quarter of the requests
     */
    LimitSimulation(long seed, Division division, int entries, double requestsPerSecond, boolean skewed) {
        this.random = new Random(seed);
        this.division = division;
        this.skewed = skewed;
        this.requestsPerSecond = requestsPerSecond;
        for (int i = 0; i < 4; i++) {
            servers.add(new CountingServer("i-" + i + "@1"));
        }
        for (int i = 0; i < entries; i++) {
            boxes.add(new Box("entry-" + i, requestRateOf(i, entries)));
        }
    }

    private double requestRateOf(int number, int entries) {
        if (!skewed) {
            return requestsPerSecond / entries;
        }
        return requestsPerSecond * (number == 0 ? 0.25 : 0.75 / (entries - 1));
    }

    /** Runs the simulation; without faults, all entries are alive and connected to each other. */
    LimitSimulation run(boolean withFaults) {
        int joining = withFaults ? Math.max(1, boxes.size() / 10) : 0;
        for (int i = 0; i < boxes.size() - joining; i++) {
            boxes.get(i).start();
        }
        for (int i = boxes.size() - joining; i < boxes.size(); i++) {
            Box box = boxes.get(i);
            after(random.nextInt((int) SIMULATED_MILLIS), box::start);
        }
        after(12_000, this::scheduleLimitChanges);
        if (withFaults) {
            injectFaults();
        }
        while (!timeline.isEmpty() && timeline.peek().at() < SIMULATED_MILLIS) {
            Event next = timeline.poll();
            now = next.at();
            next.action().run();
        }
        servers.forEach(server -> server.endOfLimit(now));
        return this;
    }

    /** Lets all servers or a random half of them announce new limits, and ends the limits of the others. */
    private void scheduleLimitChanges() {
        boolean all = random.nextBoolean();
        for (CountingServer server : servers) {
            if (all || random.nextBoolean()) {
                server.announce(LIMITS[random.nextInt(LIMITS.length)], now);
            } else if (server.isLimited()) {
                server.announce(-1, now);
            }
        }
        after(6_000L + random.nextInt(14_000), this::scheduleLimitChanges);
    }

    private void injectFaults() {
        after(random.nextInt(4_000), () -> {
            Box affected = boxes.get(random.nextInt(boxes.size()));
            switch (random.nextInt(4)) {
                case 0 -> kill(affected);
                case 1 -> affected.freeze(200L + random.nextInt(8_000));
                case 2 -> cut(affected, boxes.get(random.nextInt(boxes.size())));
                default -> boxes.forEach(other -> cut(affected, other));
            }
            injectFaults();
        });
    }

    private void kill(Box box) {
        if (!box.alive) {
            return;
        }
        box.stop();
        after(300L + random.nextInt(10_000), () -> {
            if (!box.alive) {
                box.start();
            }
        });
    }

    /** Drops the frames from one box to another for some time; both detect it by their heartbeats. */
    private void cut(Box from, Box to) {
        if (from == to || !from.unreachable.add(to)) {
            return;
        }
        from.cutSince.put(to, now);
        after(500L + random.nextInt(8_000), () -> {
            from.unreachable.remove(to);
            from.cutSince.remove(to);
        });
    }

    private Set<String> liveEntries() {
        return boxes.stream().filter(each -> each.alive).map(each -> each.name).collect(Collectors.toSet());
    }

    private void after(long millis, Runnable action) {
        timeline.add(new Event(now + millis, events++, action));
    }

    private long networkDelay() {
        return 1L + random.nextInt(10);
    }

    /** Returns the number of requests that reached a server. */
    int served() {
        return servers.stream().mapToInt(CountingServer::arrivals).sum();
    }

    /** Returns the number of requests that entries refused. */
    int refused() {
        return refused;
    }

    /** Returns the windows in which more requests arrived than the limit allows. */
    List<String> breaches() {
        return servers.stream().flatMap(server -> server.breaches().stream()).toList();
    }

    /**
     * Returns the requests that servers received under small limits, as a fraction of those that the limits allowed.
     */
    double used() {
        int used = servers.stream().mapToInt(CountingServer::arrivedWhileScarce).sum();
        double allowed =
                servers.stream().mapToDouble(CountingServer::scarceAllowed).sum();
        return used / Math.max(1, allowed);
    }

    /** Returns the number of frames sent between entries. */
    long frames() {
        return frames;
    }
}
