package org.streamring.kernel.availability;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One day of replicas that leave, rest and come back under their identifiers, and entries that decide by {@link
 * BackendAvailability}, in simulated time. Rows are late by up to ten seconds, and older ones are read again; answers
 * overtake each other or are lost; connections take up to half a second.
 */
final class NoticeFleet {
    static final long DRAIN_MILLIS = 2_000;
    private static final long DAY_MILLIS = 40_000;
    private static final int ENTRIES = 3;
    private static final int REPLICAS = 4;
    private static final int SLOTS = 6;
    private static final int SERVES_MILLIS = 120;
    private static final int BETWEEN_REQUESTS_MILLIS = 40;
    private static final int LONGEST_CONNECT_MILLIS = 500;
    private static final int LONGEST_ROW_DELAY_MILLIS = 10_000;
    private static final int LONGEST_WAIT_MILLIS = 200;
    private static final int LOOK_MILLIS = 15;
    /** The longest rest, the time until the next try, and a connection. */
    private static final long CALM_MILLIS = 4_500;

    private final Random random;
    private final PriorityQueue<Event> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Entry> entries = new ArrayList<>();
    private final List<Life> replicas = new ArrayList<>();
    private long now;
    private long events;
    private int served;
    private int refused;
    private int turnedAway;
    private int sentInRest;
    private int sentAfterDrain;
    private int sentWhileLeaving;
    private int idleLives;

    private record Event(long atMillis, long number, Runnable action) {}

    /** One process of a replica. */
    private final class Life {
        private final String id;
        private final long bornMillis;
        private final long restMillis = 500L + random.nextInt(2_500);
        private int running;
        private boolean sheds;
        private boolean leaves;
        private boolean over;
        private int runs;
        private long calmSince = now;
        private boolean longCalm;

        private Life(String id) {
            this.id = id;
            this.bornMillis = now;
        }

        private String incarnation() {
            return id + "@" + bornMillis;
        }

        /** Ends a time in which it neither shed nor left. */
        private void disturbed() {
            longCalm |= !sheds && !leaves && now - calmSince > CALM_MILLIS;
        }

        private boolean turnsAway() {
            return sheds || running >= SLOTS;
        }
    }

    /** What an entry was told, kept apart from what it believes. */
    private static final class Told {
        private long leavesSince = -1;
        private long restUntil = -1;
    }

    private final class Entry {
        private final BackendAvailability availability =
                new BackendAvailability(() -> DRAIN_MILLIS, new SilentEvents());
        private final Map<String, Life> rows = new HashMap<>();
        private final Map<String, Told> told = new HashMap<>();

        private void read(Life life, boolean ready) {
            rows.put(life.id, life);
            if (!ready) {
                availability.leaving(life.incarnation(), NoticeSource.ROW, now);
            }
        }

        private void place(long arrivedMillis) {
            List<Life> known = List.copyOf(rows.values());
            List<Life> open = known.stream()
                    .filter(life -> availability.takes(life.incarnation(), now))
                    .toList();
            boolean asLast = open.isEmpty();
            if (asLast) {
                open = known.stream()
                        .filter(life -> availability.takesAsLast(life.incarnation(), now))
                        .toList();
            }
            if (open.isEmpty()) {
                waitOrRefuse(arrivedMillis);
                return;
            }
            Life chosen = open.get(random.nextInt(open.size()));
            availability.placed(chosen.incarnation(), now);
            long connecting = random.nextInt(4) == 0 ? random.nextInt(LONGEST_CONNECT_MILLIS) : 0;
            after(connecting, () -> send(chosen, asLast, arrivedMillis));
        }

        private void waitOrRefuse(long arrivedMillis) {
            if (now - arrivedMillis >= LONGEST_WAIT_MILLIS) {
                refused++;
            } else {
                after(LOOK_MILLIS, () -> place(arrivedMillis));
            }
        }

        private void send(Life life, boolean asLast, long arrivedMillis) {
            if (!availability.mayBeSent(life.incarnation(), asLast, now)) {
                place(arrivedMillis);
                return;
            }
            Told before = told.getOrDefault(life.incarnation(), new Told());
            sentInRest += now < before.restUntil ? 1 : 0;
            sentWhileLeaving += !asLast && before.leavesSince >= 0 ? 1 : 0;
            sentAfterDrain += before.leavesSince >= 0 && now - before.leavesSince > DRAIN_MILLIS ? 1 : 0;
            after(link(), () -> arrive(life, arrivedMillis));
        }

        private void arrive(Life life, long arrivedMillis) {
            if (life.over) {
                return;
            }
            if (life.turnsAway()) {
                turnedAway++;
                long delay = link();
                after(delay, () -> {
                    hear(life, true, new BackendNotice(life.leaves, life.restMillis));
                    place(arrivedMillis);
                });
                return;
            }
            life.running++;
            life.runs++;
            after(SERVES_MILLIS, () -> end(life));
        }

        private void end(Life life) {
            life.running--;
            served++;
            BackendNotice notice = new BackendNotice(life.leaves, 0);
            boolean lost = random.nextInt(10) == 0;
            if (!lost) {
                after(link(), () -> hear(life, false, notice));
            }
        }

        private void hear(Life life, boolean away, BackendNotice notice) {
            Told said = told.computeIfAbsent(life.incarnation(), key -> new Told());
            if (notice.leaving() && said.leavesSince < 0) {
                said.leavesSince = now;
            }
            if (notice.restMillis() > 0) {
                said.restUntil = Math.max(said.restUntil, now + notice.restMillis());
            }
            availability.answered(life.incarnation(), away, notice, now);
        }
    }

    NoticeFleet(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        for (int i = 0; i < REPLICAS; i++) {
            start("i-" + i);
        }
        for (Entry entry : entries) {
            arrivals(entry);
        }
        trouble();
    }

    /** Plays the day. */
    void play() {
        while (!timeline.isEmpty() && timeline.peek().atMillis() < DAY_MILLIS) {
            Event next = timeline.poll();
            now = next.atMillis();
            next.action().run();
        }
        replicas.forEach(this::count);
    }

    private void after(long millis, Runnable action) {
        timeline.add(new Event(now + millis, events++, action));
    }

    private long link() {
        return 1L + random.nextInt(20);
    }

    private void start(String id) {
        Life life = new Life(id);
        replicas.add(life);
        tell(life, true);
    }

    private void tell(Life life, boolean ready) {
        for (Entry entry : entries) {
            after(random.nextInt(100), () -> entry.read(life, ready));
        }
    }

    private void arrivals(Entry entry) {
        after(random.nextInt(2 * BETWEEN_REQUESTS_MILLIS), () -> {
            entry.place(now);
            arrivals(entry);
        });
    }

    private void trouble() {
        after(random.nextInt(3_000), () -> {
            Life struck = replicas.get(random.nextInt(replicas.size()));
            if (random.nextBoolean()) {
                struck.disturbed();
                struck.sheds = true;
                after(random.nextInt(5_000), () -> {
                    struck.sheds = false;
                    struck.calmSince = now;
                });
            } else if (!struck.leaves) {
                leave(struck);
            }
            trouble();
        });
    }

    /** Its row says so late, and an older one is read again; another process follows under its identifier. */
    private void leave(Life life) {
        life.disturbed();
        life.leaves = true;
        after(random.nextInt(LONGEST_ROW_DELAY_MILLIS), () -> {
            tell(life, false);
            if (!life.over) {
                tell(life, true);
            }
        });
        after(LONGEST_ROW_DELAY_MILLIS + 200, () -> {
            life.over = true;
            count(life);
            replicas.remove(life);
            start(life.id);
        });
    }

    private void count(Life life) {
        life.disturbed();
        idleLives += life.longCalm && life.runs == 0 ? 1 : 0;
    }

    /** Requests that ran to their end. */
    int served() {
        return served;
    }

    /** Requests that entries refused. */
    int refused() {
        return refused;
    }

    /** Requests that replicas turned away. */
    int turnedAway() {
        return turnedAway;
    }

    /** Requests that an entry sent to a replica which had told it to rest until later. */
    int sentInRest() {
        return sentInRest;
    }

    /** Requests, chosen where others took some, that an entry sent after it was told that their replica leaves. */
    int sentWhileLeaving() {
        return sentWhileLeaving;
    }

    /** Requests that an entry sent later than the drain time after it was told that their replica leaves. */
    int sentAfterDrain() {
        return sentAfterDrain;
    }

    /** Processes that got no request although they neither shed nor left for longer than a rest. */
    int idleLives() {
        return idleLives;
    }
}
