package org.streamring.kernel.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Simulates a fleet whose servers crash under one request, or under parts of prompts, and also for other reasons.
 * Entries report to each other by rows that are sometimes delayed; entries restart and are cut off from the store.
 */
final class SuspectSimulation {
    private static final int ENTRIES = 6;
    private static final int SERVERS = 8;
    private static final long END_MILLIS = 50_000;
    private static final long CRASH_AFTER_MILLIS = 80;
    private static final long CONFIRMATION_DELAY_MILLIS = 22;
    private static final long REPORT_DELAY_MILLIS = 20;
    private static final long PROPAGATION_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final long CALLER_RETRY_MILLIS = 300;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    static final long NEVER = Long.MAX_VALUE / 2;

    private static final long CONTINUES_AFTER_MILLIS = 40;
    private static final int ACCOUNTS = 4;
    private static final int RARE_PARTS = 40;

    private static final RequestTraits CRASHING = withoutPrompt("crashing");
    private static final RequestTraits POPULAR = withoutPrompt("popular");

    /** What crashes the servers. */
    enum Cause {
        /** One request that is repeated. */
        REQUEST,
        /** One part of prompts; no two requests are alike, and all of them share the first part with sound ones. */
        PROMPT_PART,
        /** The same, and in other prompts another part, which always comes together with a sound one. */
        TWO_PROMPT_PARTS
    }

    private final Random random;
    private final SuspectLimits limits;
    private final Cause cause;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Integer, SuspectReport> rows = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Tally tally = new Tally();
    private long now;
    private int nextNumber;

    /** Counts of crashes and of refused or broken-off requests. */
    static final class Tally {
        int crashes;
        int sentAfterThirdCrash;
        int popularRefused;
        int otherRequestsRefused;
        int otherRequestsBrokenOff;
        int soundPromptsSent;
        int soundPromptsRefused;
        long thirdCrashMillis = NEVER;
        private final Map<SuspectId, PartTally> parts = new TreeMap<>(Comparator.comparing(SuspectId::digest));

        PartTally part(SuspectId part) {
            return parts.computeIfAbsent(part, any -> new PartTally());
        }
    }

    /** Counts for one part that crashes servers. */
    static final class PartTally {
        int crashes;
        int sentAfterFifthCrash;
        private long fifthCrashMillis = NEVER;
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
        private boolean reportScheduled;
        private long cutUntil;
        private long disturbedMillis = -PROPAGATION_MILLIS;

        Entry(int number) {
            this.number = number;
        }

        private SuspectTable create() {
            return new SuspectTable(limits, suspect -> number == 0, new NoOpSuspectEvents());
        }

        boolean isConnected() {
            return now >= cutUntil && now - disturbedMillis >= PROPAGATION_MILLIS;
        }

        void markDisturbed() {
            disturbedMillis = now;
        }
    }

    private static final class NoOpSuspectEvents implements SuspectEvents {
        @Override
        public void blocked(SuspectId suspect, Set<String> servers, Set<SuspectId> companions) {
            // the tally counts refusals
        }

        @Override
        public void unblocked(SuspectId suspect) {
            // the tally counts refusals
        }
    }

    private static final class Server {
        private final int number;
        private int startCount;
        private boolean alive = true;
        private final Set<Attempt> running = new LinkedHashSet<>();

        Server(int number) {
            this.number = number;
        }

        String incarnation() {
            return "s-" + number + "@" + startCount;
        }
    }

    private static final class Attempt {
        private final Entry entry;
        private final RequestTraits request;
        private final Server server;
        private final long durationMillis;
        private final int number;
        private final SentAttempt sent;
        private final SuspectTable table;
        private boolean continued;

        Attempt(Entry entry, RequestTraits request, Server server, long durationMillis, int number, long nowMillis) {
            this.entry = entry;
            this.request = request;
            this.server = server;
            this.durationMillis = durationMillis;
            this.number = number;
            this.table = entry.table;
            this.sent = table.sent(request, server.incarnation(), nowMillis);
        }
    }

    SuspectSimulation(long seed, SuspectLimits limits, Cause cause) {
        this.random = new Random(seed);
        this.limits = limits;
        this.cause = cause;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry(i));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i));
        }
    }

    /** Runs the simulation. */
    Tally run() {
        if (cause == Cause.REQUEST) {
            every(() -> 300 + random.nextInt(600), () -> sendFromRandomEntry(CRASHING, CRASH_AFTER_MILLIS));
        } else {
            every(() -> 300 + random.nextInt(600), () -> sendCrashingPrompt("c1", "r" + random.nextInt(RARE_PARTS)));
            every(() -> 15 + random.nextInt(50), this::sendSoundPrompt);
        }
        if (cause == Cause.TWO_PROMPT_PARTS) {
            every(() -> 300 + random.nextInt(600), () -> sendCrashingPrompt("c2", "companion"));
        }
        every(() -> 20 + random.nextInt(60), () -> sendFromRandomEntry(POPULAR, 200 + random.nextInt(400)));
        every(() -> 10 + random.nextInt(40), this::sendSingleRequest);
        every(() -> 4_000 + random.nextInt(4_000), () -> end(randomServer()));
        every(() -> 12_000 + random.nextInt(12_000), this::endThree);
        every(() -> 5_000 + random.nextInt(5_000), this::restart);
        every(() -> 5_000 + random.nextInt(5_000), this::cutOff);
        every(() -> (int) REPORT_INTERVAL_MILLIS, () -> entries.forEach(this::scheduleReport));
        while (now < END_MILLIS && !events.isEmpty()) {
            Event next = events.poll();
            now = next.millis();
            next.run().run();
        }
        return tally;
    }

    private void every(java.util.function.IntSupplier interval, Runnable action) {
        after(interval.getAsInt(), () -> {
            action.run();
            every(interval, action);
        });
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, nextNumber++, action));
    }

    private void sendSingleRequest() {
        sendFromRandomEntry(withoutPrompt("single-" + nextNumber), 200 + random.nextInt(4_000));
    }

    private static RequestTraits withoutPrompt(String request) {
        return new RequestTraits(SuspectId.request(request), List.of(), SuspectId.account("account-0"));
    }

    private void sendCrashingPrompt(String crashingPart, String otherPart) {
        sendFromRandomEntry(prompt("first", otherPart, crashingPart), 200 + random.nextInt(4_000));
    }

    private void sendSoundPrompt() {
        sendFromRandomEntry(prompt("first", "r" + random.nextInt(RARE_PARTS)), 200 + random.nextInt(4_000));
    }

    /** Returns a prompt that no other request repeats. */
    private RequestTraits prompt(String... parts) {
        return new RequestTraits(
                SuspectId.request("prompt-" + nextNumber++),
                Stream.of(parts).map(SuspectId::promptPart).toList(),
                SuspectId.account("account-" + random.nextInt(ACCOUNTS)));
    }

    private static Optional<SuspectId> crashingPart(RequestTraits request) {
        return request.parts().stream()
                .filter(part -> part.digest().startsWith("c") && part.digest().length() == 2)
                .findFirst();
    }

    private void sendFromRandomEntry(RequestTraits request, long durationMillis) {
        send(entries.get(random.nextInt(ENTRIES)), request, durationMillis, 1);
    }

    private void send(Entry entry, RequestTraits request, long durationMillis, int number) {
        if (!entry.table.decide(request, now).maySend()) {
            countRefusal(request);
            return;
        }
        Server server = randomServer();
        if (!server.alive) {
            return;
        }
        if (request.equals(CRASHING) && now > tally.thirdCrashMillis + PROPAGATION_MILLIS && entry.isConnected()) {
            tally.sentAfterThirdCrash++;
        }
        countSend(entry, request);
        Attempt attempt = new Attempt(entry, request, server, durationMillis, number, now);
        server.running.add(attempt);
        if (!request.parts().isEmpty()) {
            after(CRASH_AFTER_MILLIS, () -> begin(attempt));
        }
        after(durationMillis, () -> finish(attempt));
    }

    private void countSend(Entry entry, RequestTraits request) {
        Optional<SuspectId> crashing = crashingPart(request);
        if (crashing.isEmpty()) {
            tally.soundPromptsSent += request.parts().isEmpty() ? 0 : 1;
            return;
        }
        PartTally part = tally.part(crashing.get());
        if (now > part.fifthCrashMillis + PROPAGATION_MILLIS && entry.isConnected()) {
            part.sentAfterFifthCrash++;
        }
    }

    private void countRefusal(RequestTraits request) {
        if (!request.parts().isEmpty()) {
            tally.soundPromptsRefused += crashingPart(request).isPresent() ? 0 : 1;
        } else if (request.equals(POPULAR)) {
            tally.popularRefused++;
        } else if (!request.equals(CRASHING)) {
            tally.otherRequestsRefused++;
        }
    }

    /** Lets the answer to a prompt begin, which crashes the server under some parts. */
    private void begin(Attempt attempt) {
        if (!attempt.server.running.contains(attempt)) {
            return;
        }
        Optional<SuspectId> crashing = crashingPart(attempt.request);
        if (crashing.isPresent()) {
            PartTally part = tally.part(crashing.get());
            part.crashes++;
            part.fifthCrashMillis = part.crashes == 5 ? now : part.fifthCrashMillis;
            end(attempt.server);
            return;
        }
        attempt.table.begun(attempt.sent);
        after(CONTINUES_AFTER_MILLIS, () -> continueAnswer(attempt));
    }

    private void continueAnswer(Attempt attempt) {
        if (attempt.server.running.contains(attempt)) {
            attempt.continued = true;
            attempt.table.continued(attempt.sent, now);
            scheduleUrgentReport(attempt.entry);
        }
    }

    private void finish(Attempt attempt) {
        if (!attempt.server.running.contains(attempt)) {
            return;
        }
        if (attempt.request.equals(CRASHING)) {
            tally.crashes++;
            tally.thirdCrashMillis = tally.crashes == 3 ? now : tally.thirdCrashMillis;
            end(attempt.server);
            return;
        }
        attempt.server.running.remove(attempt);
        attempt.table.ended(attempt.sent, true);
        attempt.table.answered(attempt.sent, now);
        scheduleUrgentReport(attempt.entry);
    }

    private void end(Server server) {
        if (!server.alive) {
            return;
        }
        server.alive = false;
        List<Attempt> broken = List.copyOf(server.running);
        server.running.clear();
        Map<Entry, Set<String>> endedByObserver = new LinkedHashMap<>();
        for (Attempt attempt : broken) {
            attempt.table.ended(attempt.sent, true);
            attempt.table.brokeOff(attempt.sent, attempt.continued, now);
            endedByObserver
                    .computeIfAbsent(attempt.entry, any -> new LinkedHashSet<>())
                    .add(attempt.sent.server());
        }
        endedByObserver.forEach((entry, names) -> names.forEach(ended -> confirm(entry, entry.table, ended)));
        broken.forEach(this::retry);
        after(1_000 + random.nextInt(2_000), () -> {
            server.startCount++;
            server.alive = true;
        });
    }

    /** Lets the entry retry once; after that, the caller retries at a random entry. */
    private void retry(Attempt attempt) {
        tally.otherRequestsBrokenOff += attempt.request.equals(CRASHING) ? 0 : 1;
        if (attempt.number < MAX_ATTEMPTS && attempt.table.equals(attempt.entry.table)) {
            send(attempt.entry, attempt.request, attempt.durationMillis, attempt.number + 1);
        } else if (!attempt.request.equals(CRASHING)) {
            after(CALLER_RETRY_MILLIS, () -> sendFromRandomEntry(attempt.request, attempt.durationMillis));
        }
    }

    private void confirm(Entry entry, SuspectTable table, String ended) {
        after(CONFIRMATION_DELAY_MILLIS, () -> {
            table.confirmed(ended, now);
            scheduleReport(entry);
        });
    }

    private void scheduleUrgentReport(Entry entry) {
        if (entry.table.hasUnsent()) {
            scheduleReport(entry);
        }
    }

    private void scheduleReport(Entry entry) {
        if (!entry.reportScheduled) {
            entry.reportScheduled = true;
            after(REPORT_DELAY_MILLIS, () -> writeReport(entry));
        }
    }

    /** Writes the row of an entry, delayed while the entry is cut off or the store is slow. */
    private void writeReport(Entry entry) {
        if (now < entry.cutUntil) {
            after(100, () -> writeReport(entry));
            return;
        }
        entry.reportScheduled = false;
        if (!entry.table.hasChanged()) {
            return;
        }
        SuspectReport report = entry.table.report();
        entry.table.takeUnsent();
        after(4 + random.nextInt(60), () -> {
            rows.put(entry.number, report);
            entries.forEach(other -> scheduleReceipt(other, report));
        });
    }

    private void scheduleReceipt(Entry entry, SuspectReport report) {
        after(4 + random.nextInt(100), () -> {
            if (now < entry.cutUntil) {
                scheduleReceipt(entry, report);
            } else {
                entry.table.merge(report, now);
                scheduleUrgentReport(entry);
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
        entry.markDisturbed();
        entry.table = entry.create();
        servers.forEach(server -> server.running.removeIf(attempt -> attempt.entry.equals(entry)));
        rows.forEach((number, report) -> {
            if (number == entry.number) {
                entry.table.resume(report, now);
            } else {
                entry.table.merge(report, now);
            }
        });
    }

    private void cutOff() {
        Entry entry = entries.get(random.nextInt(ENTRIES));
        entry.cutUntil = now + 500 + random.nextInt(5_000);
        after(entry.cutUntil - now, entry::markDisturbed);
    }

    private Server randomServer() {
        return servers.get(random.nextInt(SERVERS));
    }
}
