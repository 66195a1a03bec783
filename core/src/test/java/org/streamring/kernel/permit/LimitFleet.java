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
import org.streamring.kernel.permit.LimitWays.FixedParts;
import org.streamring.kernel.permit.LimitWays.Permits;
import org.streamring.kernel.permit.LimitWays.Way;

/**
 * One day of servers that name limits, change and end them, in simulated time. Entries are killed and come back,
 * freeze, join, and lose connections to each other in one direction; they read who lives at their own pace; frames are
 * late; answers overtake each other or are lost. Each window in which a server gets more than its limit allows counts.
 */
final class LimitFleet {
    /** How the limits are divided. */
    enum Division {
        PERMITS,
        THREE_OWNERS,
        EVEN_PARTS
    }

    private static final long DAY_MILLIS = 60_000;
    private static final long LOOK_MILLIS = 15;
    private static final long LONGEST_WAIT_MILLIS = 160;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final double[] LIMITS = {0, 0.05, 0.3, 1, 1.2, 3, 8, 40};

    private final Random random;
    private final Division division;
    private final boolean uneven;
    private final PriorityQueue<Event> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Box> boxes = new ArrayList<>();
    private final List<CountedServer> servers = new ArrayList<>();
    private final double requestsPerSecond;
    private long now;
    private long events;
    private long frames;
    private int refused;

    private record Event(long at, long number, Runnable action) {}

    /** A box and its entry's process. */
    private final class Box implements PermitLink {
        private final String name;
        private final double pace;
        private int life;
        private boolean alive;
        private long frozeAt;
        private long frozenUntil;
        private Set<String> view = Set.of();
        private final Set<Box> deafTo = new HashSet<>();
        private final Map<Box, Long> cutSince = new HashMap<>();
        private PermitDesk desk;
        private Way way;

        private Box(String name, double pace) {
            this.name = name;
            this.pace = pace;
        }

        private void start() {
            alive = true;
            life++;
            view = Set.of();
            desk = new PermitDesk(name, this, new SilentLimitEvents());
            way = switch (division) {
                case PERMITS -> new Permits(desk);
                case THREE_OWNERS -> new FixedParts(name, () -> view, 3, 6);
                case EVEN_PARTS -> new FixedParts(name, () -> view, boxes.size(), 2.0 * boxes.size());
            };
            int started = life;
            readMembers(started);
            look(started);
            arrivals(started);
        }

        private void stop() {
            alive = false;
            excuse();
        }

        private void excuse() {
            servers.forEach(server -> server.excuse(name));
        }

        /** Does something as this process, after a freeze if there is one, and not if the process has ended. */
        private void later(int inLife, long millis, Runnable action) {
            after(millis, () -> {
                if (inLife != life || !alive) {
                    return;
                }
                if (now < frozenUntil) {
                    later(inLife, frozenUntil - now, action);
                } else {
                    action.run();
                }
            });
        }

        private void readMembers(int inLife) {
            later(inLife, 100L + random.nextInt(400), () -> {
                view = live();
                again(inLife);
            });
        }

        private void again(int inLife) {
            later(inLife, 2_000L + 20L * boxes.size(), () -> {
                view = live();
                again(inLife);
            });
        }

        private void look(int inLife) {
            later(inLife, 250, () -> {
                lookNow();
                look(inLife);
            });
        }

        private void lookNow() {
            Set<String> connected = boxes.stream()
                    .filter(each -> each != this && isConnected(each))
                    .map(each -> each.name)
                    .collect(Collectors.toSet());
            Set<String> owners = new HashSet<>(view);
            if (!view.isEmpty()) {
                owners.addAll(connected);
                owners.add(name);
            }
            desk.entries(owners, connected, now);
        }

        private boolean isConnected(Box other) {
            boolean silent = other.frozenUntil - now > 0 && now - other.frozeAt > HEARTBEAT_MILLIS;
            boolean cut = now - cutSince.getOrDefault(other, now) > HEARTBEAT_MILLIS
                    || now - other.cutSince.getOrDefault(this, now) > HEARTBEAT_MILLIS;
            return other.alive && !silent && !cut;
        }

        private void freeze(long millis) {
            frozeAt = now;
            frozenUntil = now + millis;
            excuse();
        }

        private void arrivals(int inLife) {
            later(inLife, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / pace), () -> {
                place(now);
                arrivals(inLife);
            });
        }

        private void place(long arrivedAt) {
            List<CountedServer> open = new ArrayList<>(servers);
            open.removeIf(server -> !way.takes(server.name(), now));
            if (open.isEmpty()) {
                waitOrRefuse(arrivedAt);
                return;
            }
            CountedServer chosen = open.get(random.nextInt(open.size()));
            way.place(chosen.name(), now);
            long connecting = random.nextInt(4) == 0 ? random.nextInt(500) : 0;
            later(life, connecting, () -> send(chosen, arrivedAt));
        }

        private void waitOrRefuse(long arrivedAt) {
            if (now - arrivedAt >= LONGEST_WAIT_MILLIS) {
                refused++;
            } else {
                later(life, LOOK_MILLIS, () -> place(arrivedAt));
            }
        }

        private void send(CountedServer server, long arrivedAt) {
            if (!way.mayBeSent(server.name(), now)) {
                place(arrivedAt);
                return;
            }
            long sentAt = now;
            int inLife = life;
            after(link(), () -> {
                server.arrived(name, now);
                long takes = 20L + random.nextInt(random.nextInt(10) == 0 ? 3_000 : 200);
                after(takes, () -> {
                    LimitWord word = server.word();
                    if (random.nextInt(10) > 0) {
                        later(inLife, link(), () -> hear(server, word, sentAt));
                    }
                });
            });
        }

        private void hear(CountedServer server, LimitWord word, long sentAt) {
            way.answered(server.name(), word, sentAt, now);
            server.told(name, word, now);
        }

        @Override
        public void ask(String entry, long number, PermitAsk ask) {
            int inLife = life;
            later(inLife, PermitDesk.TIMEOUT_MILLIS, () -> desk.goOnWithUnanswered(now));
            deliver(entry, other -> {
                PermitGrant grant = other.desk.asked(name, ask, now);
                other.deliver(name, back -> {
                    if (back.life == inLife) {
                        back.desk.granted(number, grant, now);
                    }
                });
            });
        }

        @Override
        public void tell(String entry, LimitNews news) {
            deliver(entry, other -> other.desk.told(name, news, now));
        }

        private void deliver(String to, Consumer<Box> frame) {
            Box other = boxes.stream()
                    .filter(each -> each.name.equals(to))
                    .findFirst()
                    .orElseThrow();
            frames++;
            if (deafTo.contains(other)) {
                return;
            }
            long late = random.nextInt(50) == 0 ? random.nextInt(3_000) : 0;
            other.later(other.life, link() + late, () -> frame.accept(other));
        }
    }

    /**
     * Prepares a day.
     *
     * @param uneven whether one entry has a quarter of the callers
     */
    LimitFleet(long seed, Division division, int entries, double requestsPerSecond, boolean uneven) {
        this.random = new Random(seed);
        this.division = division;
        this.uneven = uneven;
        this.requestsPerSecond = requestsPerSecond;
        for (int i = 0; i < 4; i++) {
            servers.add(new CountedServer("i-" + i + "@1"));
        }
        for (int i = 0; i < entries; i++) {
            boxes.add(new Box("entry-" + i, paceOf(i, entries)));
        }
    }

    private double paceOf(int number, int entries) {
        if (!uneven) {
            return requestsPerSecond / entries;
        }
        return requestsPerSecond * (number == 0 ? 0.25 : 0.75 / (entries - 1));
    }

    /** Plays the day; without trouble the entries all live and reach each other. */
    LimitFleet play(boolean trouble) {
        int joining = trouble ? Math.max(1, boxes.size() / 10) : 0;
        for (int i = 0; i < boxes.size() - joining; i++) {
            boxes.get(i).start();
        }
        for (int i = boxes.size() - joining; i < boxes.size(); i++) {
            Box box = boxes.get(i);
            after(random.nextInt((int) DAY_MILLIS), box::start);
        }
        after(12_000, this::limits);
        if (trouble) {
            trouble();
        }
        while (!timeline.isEmpty() && timeline.peek().at() < DAY_MILLIS) {
            Event next = timeline.poll();
            now = next.at();
            next.action().run();
        }
        servers.forEach(server -> server.endOfLimit(now));
        return this;
    }

    /** Half of the servers name limits, then all; they change and end. */
    private void limits() {
        boolean all = random.nextBoolean();
        for (CountedServer server : servers) {
            if (all || random.nextBoolean()) {
                server.names(LIMITS[random.nextInt(LIMITS.length)], now);
            } else if (server.isLimited()) {
                server.names(-1, now);
            }
        }
        after(6_000L + random.nextInt(14_000), this::limits);
    }

    private void trouble() {
        after(random.nextInt(4_000), () -> {
            Box struck = boxes.get(random.nextInt(boxes.size()));
            switch (random.nextInt(4)) {
                case 0 -> kill(struck);
                case 1 -> struck.freeze(200L + random.nextInt(8_000));
                case 2 -> cut(struck, boxes.get(random.nextInt(boxes.size())));
                default -> boxes.forEach(other -> cut(struck, other));
            }
            trouble();
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

    /** Frames from one box to another are lost for a while; both see it by their heartbeats. */
    private void cut(Box from, Box to) {
        if (from == to || !from.deafTo.add(to)) {
            return;
        }
        from.cutSince.put(to, now);
        after(500L + random.nextInt(8_000), () -> {
            from.deafTo.remove(to);
            from.cutSince.remove(to);
        });
    }

    private Set<String> live() {
        return boxes.stream().filter(each -> each.alive).map(each -> each.name).collect(Collectors.toSet());
    }

    private void after(long millis, Runnable action) {
        timeline.add(new Event(now + millis, events++, action));
    }

    private long link() {
        return 1L + random.nextInt(10);
    }

    /** Requests that reached a server. */
    int served() {
        return servers.stream().mapToInt(CountedServer::arrivals).sum();
    }

    /** Requests that entries refused. */
    int refused() {
        return refused;
    }

    /** Arrivals beyond what a window allows. */
    List<String> breaches() {
        return servers.stream().flatMap(server -> server.breaches().stream()).toList();
    }

    /** Requests sent to servers while they named small limits, as a part of what these add up to. */
    double used() {
        int used = servers.stream().mapToInt(CountedServer::arrivedWhileScarce).sum();
        double allowed =
                servers.stream().mapToDouble(CountedServer::scarceAllowed).sum();
        return used / Math.max(1, allowed);
    }

    /** Frames sent between entries. */
    long frames() {
        return frames;
    }
}
