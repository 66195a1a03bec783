package org.streamring.kernel.availability;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates replicas that shut down, back off and restart under the same identifier, and entries that choose among them
 * by {@link BackendAvailability}. Rows are delayed by up to ten seconds, and older rows are read again; answers
 * are reordered or lost; connections take up to half a second.
 */
final class AvailabilitySimulation {
    static final long DRAIN_MILLIS = 2_000;
    private static final long SIMULATED_MILLIS = 40_000;
    private static final int ENTRIES = 3;
    private static final int REPLICAS = 4;
    private static final int SLOTS = 6;
    private static final int SERVICE_TIME_MILLIS = 120;
    private static final int MEAN_REQUEST_INTERVAL_MILLIS = 40;
    private static final int LONGEST_CONNECT_MILLIS = 500;
    private static final int LONGEST_ROW_DELAY_MILLIS = 10_000;
    private static final int LONGEST_WAIT_MILLIS = 200;
    private static final int RETRY_INTERVAL_MILLIS = 15;
    /** The longest back-off, the interval until the next probe and the time to connect together. */
    private static final long LONGEST_IDLE_MILLIS = 4_500;

    private final Random random;
    private final PriorityQueue<Event> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Entry> entries = new ArrayList<>();
    private final List<ServerProcess> replicas = new ArrayList<>();
    private long now;
    private long events;
    private int served;
    private int refused;
    private int rejected;
    private int sentDuringBackOff;
    private int sentAfterDrain;
    private int sentDuringShutdown;
    private int unusedProcesses;

    private record Event(long atMillis, long number, Runnable action) {}

    /** One process of a replica. */
    private final class ServerProcess {
        private final String id;
        private final long startedMillis;
        private final long backOffMillis = 500L + random.nextInt(2_500);
        private int running;
        private boolean sheddingLoad;
        private boolean shuttingDown;
        private boolean ended;
        private int requestsRun;
        private long availableSince = now;
        private boolean wasLongAvailable;

        private ServerProcess(String id) {
            this.id = id;
            this.startedMillis = now;
        }

        private String incarnation() {
            return id + "@" + startedMillis;
        }

        /** Ends a period in which the process neither shed load nor was shutting down. */
        private void endAvailablePeriod() {
            wasLongAvailable |= !sheddingLoad && !shuttingDown && now - availableSince > LONGEST_IDLE_MILLIS;
        }

        private boolean rejects() {
            return sheddingLoad || running >= SLOTS;
        }
    }

    /** Notices that an entry received, recorded independently of the class under test. */
    private static final class ReceivedNotices {
        private long shutdownSince = -1;
        private long backOffUntil = -1;
    }

    private final class Entry {
        private final BackendAvailability availability =
                new BackendAvailability(() -> DRAIN_MILLIS, new NoOpAvailabilityEvents());
        private final Map<String, ServerProcess> rows = new HashMap<>();
        private final Map<String, ReceivedNotices> receivedNotices = new HashMap<>();

        private void read(ServerProcess process, boolean ready) {
            rows.put(process.id, process);
            if (!ready) {
                availability.leaving(process.incarnation(), NoticeSource.ROW, now);
            }
        }

        private void place(long arrivedMillis) {
            List<ServerProcess> listed = List.copyOf(rows.values());
            List<ServerProcess> open = listed.stream()
                    .filter(process -> availability.isAvailable(process.incarnation(), now))
                    .toList();
            boolean asLastResort = open.isEmpty();
            if (asLastResort) {
                open = listed.stream()
                        .filter(process -> availability.isAvailableAsLastResort(process.incarnation(), now))
                        .toList();
            }
            if (open.isEmpty()) {
                waitOrRefuse(arrivedMillis);
                return;
            }
            ServerProcess chosen = open.get(random.nextInt(open.size()));
            availability.placed(chosen.incarnation(), now);
            long connecting = random.nextInt(4) == 0 ? random.nextInt(LONGEST_CONNECT_MILLIS) : 0;
            after(connecting, () -> send(chosen, asLastResort, arrivedMillis));
        }

        private void waitOrRefuse(long arrivedMillis) {
            if (now - arrivedMillis >= LONGEST_WAIT_MILLIS) {
                refused++;
            } else {
                after(RETRY_INTERVAL_MILLIS, () -> place(arrivedMillis));
            }
        }

        private void send(ServerProcess process, boolean asLastResort, long arrivedMillis) {
            if (!availability.mayBeSent(process.incarnation(), asLastResort, now)) {
                place(arrivedMillis);
                return;
            }
            ReceivedNotices received = receivedNotices.getOrDefault(process.incarnation(), new ReceivedNotices());
            sentDuringBackOff += now < received.backOffUntil ? 1 : 0;
            sentDuringShutdown += !asLastResort && received.shutdownSince >= 0 ? 1 : 0;
            sentAfterDrain += received.shutdownSince >= 0 && now - received.shutdownSince > DRAIN_MILLIS ? 1 : 0;
            after(networkDelay(), () -> arrive(process, arrivedMillis));
        }

        private void arrive(ServerProcess process, long arrivedMillis) {
            if (process.ended) {
                return;
            }
            if (process.rejects()) {
                rejected++;
                long delay = networkDelay();
                after(delay, () -> {
                    receiveAnswer(process, true, new BackendNotice(process.shuttingDown, process.backOffMillis));
                    place(arrivedMillis);
                });
                return;
            }
            process.running++;
            process.requestsRun++;
            after(SERVICE_TIME_MILLIS, () -> end(process));
        }

        private void end(ServerProcess process) {
            process.running--;
            served++;
            BackendNotice notice = new BackendNotice(process.shuttingDown, 0);
            boolean lost = random.nextInt(10) == 0;
            if (!lost) {
                after(networkDelay(), () -> receiveAnswer(process, false, notice));
            }
        }

        private void receiveAnswer(ServerProcess process, boolean rejected, BackendNotice notice) {
            ReceivedNotices received =
                    receivedNotices.computeIfAbsent(process.incarnation(), key -> new ReceivedNotices());
            if (notice.shuttingDown() && received.shutdownSince < 0) {
                received.shutdownSince = now;
            }
            if (notice.backOffMillis() > 0) {
                received.backOffUntil = Math.max(received.backOffUntil, now + notice.backOffMillis());
            }
            availability.answered(process.incarnation(), rejected, notice, now);
        }
    }

    AvailabilitySimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        for (int i = 0; i < REPLICAS; i++) {
            start("i-" + i);
        }
        for (Entry entry : entries) {
            scheduleArrivals(entry);
        }
        injectFaults();
    }

    /** Runs the simulation to its end. */
    void run() {
        while (!timeline.isEmpty() && timeline.peek().atMillis() < SIMULATED_MILLIS) {
            Event next = timeline.poll();
            now = next.atMillis();
            next.action().run();
        }
        replicas.forEach(this::count);
    }

    private void after(long millis, Runnable action) {
        timeline.add(new Event(now + millis, events++, action));
    }

    private long networkDelay() {
        return 1L + random.nextInt(20);
    }

    private void start(String id) {
        ServerProcess process = new ServerProcess(id);
        replicas.add(process);
        publishRow(process, true);
    }

    private void publishRow(ServerProcess process, boolean ready) {
        for (Entry entry : entries) {
            after(random.nextInt(100), () -> entry.read(process, ready));
        }
    }

    private void scheduleArrivals(Entry entry) {
        after(random.nextInt(2 * MEAN_REQUEST_INTERVAL_MILLIS), () -> {
            entry.place(now);
            scheduleArrivals(entry);
        });
    }

    private void injectFaults() {
        after(random.nextInt(3_000), () -> {
            ServerProcess affected = replicas.get(random.nextInt(replicas.size()));
            if (random.nextBoolean()) {
                affected.endAvailablePeriod();
                affected.sheddingLoad = true;
                after(random.nextInt(5_000), () -> {
                    affected.sheddingLoad = false;
                    affected.availableSince = now;
                });
            } else if (!affected.shuttingDown) {
                shutDown(affected);
            }
            injectFaults();
        });
    }

    /**
     * Shuts a process down: its row changes late, an older row is read again, and a new process takes its identifier.
     */
    private void shutDown(ServerProcess process) {
        process.endAvailablePeriod();
        process.shuttingDown = true;
        after(random.nextInt(LONGEST_ROW_DELAY_MILLIS), () -> {
            publishRow(process, false);
            if (!process.ended) {
                publishRow(process, true);
            }
        });
        after(LONGEST_ROW_DELAY_MILLIS + 200, () -> {
            process.ended = true;
            count(process);
            replicas.remove(process);
            start(process.id);
        });
    }

    private void count(ServerProcess process) {
        process.endAvailablePeriod();
        unusedProcesses += process.wasLongAvailable && process.requestsRun == 0 ? 1 : 0;
    }

    /** Returns the number of requests that ran to their end. */
    int served() {
        return served;
    }

    /** Returns the number of requests that entries refused. */
    int refused() {
        return refused;
    }

    /** Returns the number of requests that replicas rejected. */
    int rejected() {
        return rejected;
    }

    /** Returns the number of requests that an entry sent to a replica during a back-off that it had received. */
    int sentDuringBackOff() {
        return sentDuringBackOff;
    }

    /**
     * Returns the number of requests that an entry sent after it had received the replica's shutdown notice although
     * other replicas were available.
     */
    int sentDuringShutdown() {
        return sentDuringShutdown;
    }

    /** Returns the number of requests that an entry sent after the drain time following a shutdown notice. */
    int sentAfterDrain() {
        return sentAfterDrain;
    }

    /** Returns the number of processes without a request although they were available for longer than a back-off. */
    int unusedProcesses() {
        return unusedProcesses;
    }
}
