package org.streamring.kernel.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.stream.StreamOriginTable.RecordedOrigin;

/**
 * Simulates a fleet whose service is upgraded twice while entries are killed, stand still and are cut off from each
 * other and from the store. Callers resume broken streams at any entry.
 */
final class StreamResumptionSimulation {
    /** How an entry tells other entries where a stream began. */
    enum Way {
        /** Tells no entry; each entry knows only the streams that it began itself. */
        NO_WITNESS(0, 0, false),
        /** Tells one entry in the moment of the first event. */
        ONE_WITNESS(1, 0, false),
        /** Tells three entries in the moment of the first event. */
        THREE_WITNESSES(3, 0, false),
        /** Tells three entries, all streams of 20 ms at once. */
        THREE_WITNESSES_BATCHED(3, 20, false),
        /** Tells three entries, and holds the first event back until one of them has acknowledged. */
        THREE_WITNESSES_BEFORE_EVENT(3, 0, true);

        private final int witnesses;
        private final long batchMillis;
        private final boolean acknowledged;

        Way(int witnesses, long batchMillis, boolean acknowledged) {
            this.witnesses = witnesses;
            this.batchMillis = batchMillis;
            this.acknowledged = acknowledged;
        }
    }

    private static final int ENTRIES = 6;
    private static final String SERVICE = "assist";
    private static final String ROUTE = "route";
    private static final long END_MILLIS = 80_000;
    private static final long[] UPGRADES_MILLIS = {10_000, 60_000};
    private static final long BOTH_SERVE_MILLIS = 8_000;
    private static final long STREAM_INTERVAL_MILLIS = 30;
    private static final long STREAM_LENGTH_MILLIS = 4_000;
    private static final long CALLER_WAIT_MILLIS = 15_000;
    private static final long ROUTE_TIMEOUT_MILLIS = 15_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 200;
    private static final long MAX_CONFIRMATION_MILLIS = 600;
    private static final long LISTING_DELAY_MILLIS = 150;
    private static final long FAULT_INTERVAL_MILLIS = 1_500;
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 50;
    private static final long TO_CALLER_MILLIS = 3;
    private static final double BREAK_PROBABILITY = 0.05;

    private final Random random;
    private final Way way;
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<String> served = new TreeSet<>();
    private final Tally tally = new Tally();
    private long now;
    private int nextNumber;

    /** Counts of one run. */
    static final class Tally {
        int begun;
        int resumed;
        int continuedAtOtherVersion;
        int refused;
        int refusedInTouch;
        int resumedInTouch;
        int notes;
        int queries;
        long heldMillis;
    }

    private record Event(long millis, int number, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis == other.millis ? Integer.compare(number, other.number) : Long.compare(millis, other.millis);
        }
    }

    private static final class Stream {
        private final String id;
        private final String version;
        private final long endMillis;
        private final long giveUpMillis;
        private boolean done;

        Stream(String id, String version, long beganMillis) {
            this.id = id;
            this.version = version;
            this.endMillis = beganMillis + STREAM_LENGTH_MILLIS;
            this.giveUpMillis = beganMillis + CALLER_WAIT_MILLIS;
        }
    }

    private final class Entry {
        private StreamOriginTable table = new StreamOriginTable(StreamOriginTable.DEFAULT_CAPACITY);
        private PossibleOrigins possible = new PossibleOrigins();
        private final Set<String> listed = new TreeSet<>();
        private final Set<Stream> streams = new LinkedHashSet<>();
        private int process;
        private boolean alive = true;
        private long stoppedUntil;
        private long cutUntil;
        private long disturbedMillis = Long.MIN_VALUE / 2;

        boolean cut() {
            return now < cutUntil;
        }

        boolean answers() {
            return alive && now >= stoppedUntil;
        }

        boolean inTouch() {
            return answers() && !cut() && now - disturbedMillis > 3_000;
        }

        void observe() {
            possible.listed(instances(listed), now);
            possible.routed(ROUTE, Set.of(SERVICE), now);
        }
    }

    StreamResumptionSimulation(long seed, Way way) {
        this.random = new Random(seed);
        this.way = way;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
    }

    Tally run() {
        serve("v0");
        for (int upgrade = 0; upgrade < UPGRADES_MILLIS.length; upgrade++) {
            String before = "v" + upgrade;
            String after = "v" + (upgrade + 1);
            at(UPGRADES_MILLIS[upgrade], () -> serve(after));
            at(UPGRADES_MILLIS[upgrade] + BOTH_SERVE_MILLIS, () -> end(before));
        }
        for (long millis = 1_000; millis < END_MILLIS - CALLER_WAIT_MILLIS; millis += STREAM_INTERVAL_MILLIS) {
            at(millis, this::begin);
        }
        for (long millis = 2_000; millis < END_MILLIS - CALLER_WAIT_MILLIS; millis += FAULT_INTERVAL_MILLIS) {
            at(millis + random.nextLong(FAULT_INTERVAL_MILLIS), this::injectFault);
        }
        for (long millis = 0; millis < END_MILLIS; millis += 250) {
            at(millis, () -> entries.stream().filter(Entry::answers).forEach(Entry::observe));
        }
        while (!events.isEmpty() && events.peek().millis() <= END_MILLIS) {
            Event event = events.poll();
            now = event.millis();
            event.run().run();
        }
        return tally;
    }

    private void at(long millis, Runnable run) {
        events.add(new Event(millis, nextNumber++, run));
    }

    private void in(long delayMillis, Runnable run) {
        at(now + delayMillis, run);
    }

    private void serve(String version) {
        served.add(version);
        entries.forEach(entry -> list(entry, version, true));
    }

    private void end(String version) {
        served.remove(version);
        entries.forEach(entry -> list(entry, version, false));
    }

    /** An entry that is cut off from the store sees a change once the cut is over. */
    private void list(Entry entry, String version, boolean present) {
        in(random.nextLong(1, LISTING_DELAY_MILLIS), () -> {
            if (entry.cut()) {
                at(entry.cutUntil, () -> list(entry, version, present));
            } else if (present && served.contains(version)) {
                entry.listed.add(version);
                entry.observe();
            } else if (!present) {
                entry.observe();
                entry.listed.remove(version);
            }
        });
    }

    private static List<BackendInstance> instances(Set<String> versions) {
        return versions.stream()
                .map(version -> new BackendInstance("i-" + version, SERVICE, "h", 1, "d", 8, true, 0, 0, version))
                .toList();
    }

    private void injectFault() {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        long millis = random.nextLong(200, 3_000);
        switch (random.nextInt(4)) {
            case 0 -> kill(entry, millis);
            case 1 -> stop(entry, millis);
            case 2 -> cut(entry, millis);
            default -> {
                kill(entry, millis);
                kill(entries.get(random.nextInt(ENTRIES)), millis);
            }
        }
    }

    private void kill(Entry entry, long millis) {
        if (!entry.alive) {
            return;
        }
        entry.alive = false;
        entry.process++;
        entry.disturbedMillis = now;
        breakStreams(entry);
        in(millis, () -> {
            entry.alive = true;
            entry.disturbedMillis = now;
            entry.table = new StreamOriginTable(StreamOriginTable.DEFAULT_CAPACITY);
            entry.possible = new PossibleOrigins();
            entry.listed.clear();
            entry.listed.addAll(served);
            entry.observe();
        });
    }

    private void stop(Entry entry, long millis) {
        entry.stoppedUntil = now + millis;
        entry.disturbedMillis = now;
        breakStreams(entry);
    }

    private void cut(Entry entry, long millis) {
        entry.cutUntil = now + millis;
        entry.disturbedMillis = now;
        breakStreams(entry);
    }

    private void breakStreams(Entry entry) {
        List.copyOf(entry.streams).forEach(stream -> breakStream(entry, stream));
    }

    private void breakStream(Entry entry, Stream stream) {
        if (entry.streams.remove(stream) && !stream.done) {
            in(random.nextLong(5, 300), () -> resume(stream));
        }
    }

    private void begin() {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        List<String> choices = entry.listed.stream().filter(served::contains).toList();
        if (!entry.answers() || choices.isEmpty()) {
            return;
        }
        Stream stream = new Stream("s-" + nextNumber, choices.get(random.nextInt(choices.size())), now);
        tally.begun++;
        entry.table.record(stream.id, origin(stream.version), CALLER_WAIT_MILLIS, now);
        long heldMillis = tell(entry, stream);
        tally.heldMillis += heldMillis;
        int process = entry.process;
        in(heldMillis + TO_CALLER_MILLIS, () -> firstEvent(entry, process, stream));
    }

    /** Passes on the first event; an event that was held back is not sent by an entry that was killed meanwhile. */
    private void firstEvent(Entry entry, int process, Stream stream) {
        boolean sent = !way.acknowledged || entry.process == process;
        if (!sent) {
            return;
        }
        if (entry.process != process || !entry.answers()) {
            in(random.nextLong(5, 300), () -> resume(stream));
            return;
        }
        entry.streams.add(stream);
        if (random.nextDouble() < BREAK_PROBABILITY) {
            in(random.nextLong(STREAM_LENGTH_MILLIS), () -> breakStream(entry, stream));
        }
        at(Math.max(now, stream.endMillis), () -> {
            if (entry.streams.remove(stream)) {
                stream.done = true;
            }
        });
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(SERVICE, version, "hotel");
    }

    /** Tells witnesses; returns the time for which the first event is held back. */
    private long tell(Entry entry, Stream stream) {
        long batchMillis = way.batchMillis == 0 ? 0 : way.batchMillis - now % way.batchMillis;
        int process = entry.process;
        long acknowledgedMillis = ACKNOWLEDGEMENT_TIMEOUT_MILLIS;
        List<Entry> connected = new ArrayList<>(
                entries.stream().filter(each -> connected(entry, each)).toList());
        Collections.shuffle(connected, random);
        for (Entry witness : connected.subList(0, Math.min(way.witnesses, connected.size()))) {
            tally.notes++;
            long delay = random.nextLong(1, 3);
            if (witness.answers()) {
                acknowledgedMillis = Math.min(acknowledgedMillis, 2 * delay);
            }
            in(batchMillis, () -> {
                if (entry.process == process && connected(entry, witness)) {
                    in(delay, () -> deliver(witness, stream));
                }
            });
        }
        return way.acknowledged ? acknowledgedMillis : 0;
    }

    private void deliver(Entry witness, Stream stream) {
        if (!witness.alive) {
            return;
        }
        if (now < witness.stoppedUntil) {
            at(witness.stoppedUntil, () -> deliver(witness, stream));
            return;
        }
        witness.table.record(stream.id, origin(stream.version), CALLER_WAIT_MILLIS, now);
    }

    /** An entry that stands still stays connected; frames wait for it. */
    private static boolean connected(Entry one, Entry other) {
        return one != other && one.alive && other.alive && !one.cut() && !other.cut();
    }

    private void resume(Stream stream) {
        if (now > stream.giveUpMillis) {
            return;
        }
        Entry entry = entries.get(random.nextInt(ENTRIES));
        if (!entry.answers()) {
            in(300, () -> resume(stream));
            return;
        }
        Optional<RecordedOrigin> own = entry.table.find(stream.id, now);
        if (own.isPresent()) {
            decide(entry, stream, own.map(RecordedOrigin::origin));
            return;
        }
        tally.queries++;
        List<Entry> asked =
                entries.stream().filter(each -> connected(entry, each)).toList();
        Optional<RecordedOrigin> found = asked.stream()
                .filter(Entry::answers)
                .flatMap(each -> each.table.find(stream.id, now).stream())
                .findFirst();
        boolean allAnswer = asked.stream().allMatch(Entry::answers);
        int process = entry.process;
        in(found.isPresent() || allAnswer ? 4 : ANSWER_TIMEOUT_MILLIS, () -> {
            if (entry.process == process && entry.answers()) {
                decide(entry, stream, found.map(RecordedOrigin::origin));
            } else {
                resume(stream);
            }
        });
    }

    /** An origin that was not recorded is inferred once a list has arrived that the store sent after the request. */
    private void decide(Entry entry, Stream stream, Optional<StreamOrigin> recorded) {
        if (recorded.isPresent() || only(entry, stream).isEmpty()) {
            decide(entry, stream, ResumeDecision.of(recorded, Optional.empty(), "hotel", Set.of(SERVICE)));
            return;
        }
        int process = entry.process;
        long askedMillis = now;
        in(random.nextLong(LISTING_DELAY_MILLIS, MAX_CONFIRMATION_MILLIS), () -> {
            if (entry.process != process || !entry.answers()) {
                resume(stream);
                return;
            }
            boolean confirmed = entry.cutUntil <= askedMillis;
            Optional<StreamOrigin> only = confirmed ? only(entry, stream) : Optional.empty();
            decide(entry, stream, ResumeDecision.of(recorded, only, "hotel", Set.of(SERVICE)));
        });
    }

    private Optional<StreamOrigin> only(Entry entry, Stream stream) {
        entry.observe();
        long period = ROUTE_TIMEOUT_MILLIS + Math.max(0, stream.giveUpMillis - now);
        return entry.possible.only(ROUTE, "hotel", period, now);
    }

    private void decide(Entry entry, Stream stream, ResumeDecision decision) {
        tally.resumed++;
        boolean owed = entry.inTouch() && served.contains(stream.version);
        tally.resumedInTouch += owed ? 1 : 0;
        if (decision.origin().isEmpty()) {
            tally.refused++;
            tally.refusedInTouch += owed ? 1 : 0;
            return;
        }
        String continuedAt = decision.origin().get().softwareVersion();
        if (!continuedAt.equals(stream.version) && entry.listed.contains(continuedAt)) {
            tally.continuedAtOtherVersion++;
        }
        if (continuedAt.equals(stream.version) && served.contains(continuedAt)) {
            entry.streams.add(stream);
            in(STREAM_LENGTH_MILLIS / 2, () -> stream.done |= entry.streams.remove(stream));
        }
    }
}
