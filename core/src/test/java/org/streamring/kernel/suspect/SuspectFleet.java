package org.streamring.kernel.suspect;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A fleet in simulated time whose servers end under one request, and for other reasons too. Entries tell each other
 * through rows that come late at times; entries start again and are cut off.
 */
final class SuspectFleet {
    private static final int ENTRIES = 6;
    private static final int SERVERS = 8;
    private static final long END_MILLIS = 50_000;
    private static final long CRASH_AFTER_MILLIS = 80;
    private static final long CONFIRMED_AFTER_MILLIS = 22;
    private static final long TOLD_AFTER_MILLIS = 20;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final long CALLER_BACK_MILLIS = 300;
    private static final long FORGIVEN_EACH_MILLIS = 1_000;
    static final long NEVER = Long.MAX_VALUE / 2;

    static final RequestDigest CRASHING = new RequestDigest("crashing");
    static final RequestDigest POPULAR = new RequestDigest("popular");

    private final Random random;
    private final SuspectLimits limits;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Integer, SuspectReport> rows = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Tally tally = new Tally();
    private long now;
    private int numbers;

    /** What became of the requests. */
    static final class Tally {
        int crashes;
        int sentAfterThird;
        int popularRefused;
        int othersRefused;
        int othersBrokenOff;
        long thirdMillis = NEVER;
    }

    private record Event(long millis, int number, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis == other.millis ? Integer.compare(number, other.number) : Long.compare(millis, other.millis);
        }
    }

    private final class Entry {
        private final int number;
        private SuspectTable table = create();
        private boolean telling;
        private long cutUntil;
        private long disturbedMillis = -CONTACT_MILLIS;

        Entry(int number) {
            this.number = number;
        }

        private SuspectTable create() {
            return new SuspectTable(limits, request -> number == 0, new Deaf());
        }

        boolean inTouch() {
            return now >= cutUntil && now - disturbedMillis >= CONTACT_MILLIS;
        }

        void disturb() {
            disturbedMillis = now;
        }
    }

    private static final class Deaf implements SuspectEvents {
        @Override
        public void blocked(RequestDigest request, Set<String> servers) {
            // the tally counts refusals
        }

        @Override
        public void unblocked(RequestDigest request) {
            // the tally counts refusals
        }
    }

    private static final class Server {
        private final int number;
        private int life;
        private boolean up = true;
        private final Set<Attempt> running = new LinkedHashSet<>();

        Server(int number) {
            this.number = number;
        }

        String incarnation() {
            return "s-" + number + "@" + life;
        }
    }

    private static final class Attempt {
        private final Entry entry;
        private final RequestDigest request;
        private final Server server;
        private final long lastsMillis;
        private final int number;
        private final int round;
        private final SuspectTable table;

        Attempt(Entry entry, RequestDigest request, Server server, long lastsMillis, int number) {
            this.entry = entry;
            this.request = request;
            this.server = server;
            this.lastsMillis = lastsMillis;
            this.number = number;
            this.table = entry.table;
            this.round = table.sent(request);
        }
    }

    SuspectFleet(long seed, SuspectLimits limits) {
        this.random = new Random(seed);
        this.limits = limits;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry(i));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i));
        }
    }

    /** Plays one day. */
    Tally play() {
        every(() -> 300 + random.nextInt(600), () -> request(CRASHING, CRASH_AFTER_MILLIS));
        every(() -> 20 + random.nextInt(60), () -> request(POPULAR, 200 + random.nextInt(400)));
        every(() -> 10 + random.nextInt(40), this::single);
        every(() -> 4_000 + random.nextInt(4_000), () -> end(anyServer()));
        every(() -> 12_000 + random.nextInt(12_000), this::endThree);
        every(() -> 5_000 + random.nextInt(5_000), this::restart);
        every(() -> 5_000 + random.nextInt(5_000), this::cutOff);
        every(() -> (int) FORGIVEN_EACH_MILLIS, () -> entries.forEach(this::tellSoon));
        while (now < END_MILLIS && !events.isEmpty()) {
            Event next = events.poll();
            now = next.millis();
            next.run().run();
        }
        return tally;
    }

    private void every(java.util.function.IntSupplier pause, Runnable action) {
        after(pause.getAsInt(), () -> {
            action.run();
            every(pause, action);
        });
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, numbers++, action));
    }

    private void single() {
        request(new RequestDigest("single-" + numbers), 200 + random.nextInt(4_000));
    }

    private void request(RequestDigest request, long lastsMillis) {
        send(entries.get(random.nextInt(ENTRIES)), request, lastsMillis, 1);
    }

    private void send(Entry entry, RequestDigest request, long lastsMillis, int number) {
        if (!entry.table.decide(request, now).sends()) {
            refused(request);
            return;
        }
        Server server = anyServer();
        if (!server.up) {
            return;
        }
        if (request.equals(CRASHING) && now > tally.thirdMillis + CONTACT_MILLIS && entry.inTouch()) {
            tally.sentAfterThird++;
        }
        Attempt attempt = new Attempt(entry, request, server, lastsMillis, number);
        server.running.add(attempt);
        after(lastsMillis, () -> over(attempt));
    }

    private void refused(RequestDigest request) {
        if (request.equals(POPULAR)) {
            tally.popularRefused++;
        } else if (!request.equals(CRASHING)) {
            tally.othersRefused++;
        }
    }

    private void over(Attempt attempt) {
        if (!attempt.server.running.contains(attempt)) {
            return;
        }
        if (attempt.request.equals(CRASHING)) {
            tally.crashes++;
            tally.thirdMillis = tally.crashes == 3 ? now : tally.thirdMillis;
            end(attempt.server);
            return;
        }
        attempt.server.running.remove(attempt);
        attempt.table.ended(attempt.request);
        attempt.table.answered(attempt.request, now);
        tellNews(attempt.entry);
    }

    private void end(Server server) {
        if (!server.up) {
            return;
        }
        server.up = false;
        List<Attempt> broken = List.copyOf(server.running);
        server.running.clear();
        String ended = server.incarnation();
        Set<Entry> saw = new LinkedHashSet<>();
        for (Attempt attempt : broken) {
            attempt.table.ended(attempt.request);
            attempt.table.brokeOff(attempt.request, ended, attempt.round, now);
            saw.add(attempt.entry);
        }
        saw.forEach(entry -> confirm(entry, entry.table, ended));
        broken.forEach(this::retry);
        after(1_000 + random.nextInt(2_000), () -> {
            server.life++;
            server.up = true;
        });
    }

    /** The entry tries once more; after that the caller comes back to any entry. */
    private void retry(Attempt attempt) {
        tally.othersBrokenOff += attempt.request.equals(CRASHING) ? 0 : 1;
        if (attempt.number < MAX_ATTEMPTS && attempt.table.equals(attempt.entry.table)) {
            send(attempt.entry, attempt.request, attempt.lastsMillis, attempt.number + 1);
        } else if (!attempt.request.equals(CRASHING)) {
            after(CALLER_BACK_MILLIS, () -> request(attempt.request, attempt.lastsMillis));
        }
    }

    private void confirm(Entry entry, SuspectTable table, String ended) {
        after(CONFIRMED_AFTER_MILLIS, () -> {
            table.confirmed(ended, now);
            tellSoon(entry);
        });
    }

    private void tellNews(Entry entry) {
        if (entry.table.hasNews()) {
            tellSoon(entry);
        }
    }

    private void tellSoon(Entry entry) {
        if (!entry.telling) {
            entry.telling = true;
            after(TOLD_AFTER_MILLIS, () -> tell(entry));
        }
    }

    /** A cut holds the row up; the store is slow at times. */
    private void tell(Entry entry) {
        if (now < entry.cutUntil) {
            after(100, () -> tell(entry));
            return;
        }
        entry.telling = false;
        if (!entry.table.hasChanged()) {
            return;
        }
        SuspectReport report = entry.table.report();
        after(4 + random.nextInt(60), () -> {
            rows.put(entry.number, report);
            entries.forEach(other -> hearSoon(other, report));
        });
    }

    private void hearSoon(Entry entry, SuspectReport report) {
        after(4 + random.nextInt(100), () -> {
            if (now < entry.cutUntil) {
                hearSoon(entry, report);
            } else {
                entry.table.heard(report, now);
                tellNews(entry);
            }
        });
    }

    private void endThree() {
        int first = random.nextInt(SERVERS);
        for (int i = 0; i < 3; i++) {
            end(servers.get((first + i) % SERVERS));
        }
    }

    private void restart() {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        entry.disturb();
        entry.table = entry.create();
        servers.forEach(server -> server.running.removeIf(attempt -> attempt.entry.equals(entry)));
        rows.forEach((number, report) -> {
            if (number == entry.number) {
                entry.table.resume(report, now);
            } else {
                entry.table.heard(report, now);
            }
        });
    }

    private void cutOff() {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        entry.cutUntil = now + 500 + random.nextInt(5_000);
        after(entry.cutUntil - now, entry::disturb);
    }

    private Server anyServer() {
        return servers.get(random.nextInt(SERVERS));
    }
}
