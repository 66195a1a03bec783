package case2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import standin.Caller;
import standin.Config;
import standin.Daemon;
import standin.Entry;
import standin.Http;
import standin.Record;
import standin.Replica;
import standin.Store;

/**
 * Clients send bodies of max_body_bytes, seven at a time, and twelve others send small requests; in a burst, 1.6 times as
 * many of both.
 */
public final class Case2 {
    private static final int BODY_BYTES = 4_194_304;
    /** Each client sends at 8 MB/s at most, so that eleven of them stay below link_mbps. */
    private static final int PIECE_BYTES = 65_536;

    private static final int PIECE_MILLIS = 8;
    private static final int USUAL = 7;
    private static final int BURST = 11;
    private static final int ROUNDS = 6;
    private static final int BURST_ROUND = 4;
    private static final int SMALL_CLIENTS = 12;
    private static final int SMALL_CLIENTS_MORE = 8;

    private record Sent(String id, boolean onKeptConnection, String end) {}

    private static final List<Sent> SENT = new CopyOnWriteArrayList<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(arguments[1]);
        Record record = new Record(Path.of(arguments[0]));
        Store store = new Store();
        List<Replica> replicas = new ArrayList<>();
        store.put("op", "config", Config.text(1, 1_000_000, 10_000, "{}"));
        for (int i = 1; i <= 3; i++) {
            Replica replica = new Replica("i-" + i, null);
            replica.work(replica.plain(86, new byte[800]));
            replicas.add(replica);
            store.put("servers", replica.id, replica.row("app", 16));
        }
        Entry entry = new Entry("front-1", store.port());
        entry.start();
        entry.awaitReady();
        Thread.sleep(3_500);
        record.line("ready; trouble " + trouble);
        AtomicBoolean over = new AtomicBoolean();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int number = i;
            threads.add(Daemon.start(() -> small(entry, number, over)));
        }
        for (int round = 0; round < ROUNDS && entry.process.isAlive(); round++) {
            boolean burst = trouble && round == BURST_ROUND;
            int count = burst ? BURST : USUAL;
            record.line("round " + round + ": " + count + " bodies of " + BODY_BYTES + " bytes");
            AtomicBoolean burstOver = new AtomicBoolean();
            for (int i = 0; burst && i < SMALL_CLIENTS_MORE; i++) {
                int number = SMALL_CLIENTS + i;
                threads.add(Daemon.start(() -> small(entry, number, burstOver)));
            }
            round(entry, round, count);
            burstOver.set(true);
            Thread.sleep(1_000);
        }
        over.set(true);
        for (Thread thread : threads) {
            thread.join(12_000);
        }
        Set<String> ran = new HashSet<>();
        for (Replica replica : replicas) {
            ran.addAll(replica.ran);
            record.line(replica.id + " ran " + replica.ran.size());
        }
        int lost = 0;
        Map<String, Integer> ends = new TreeMap<>();
        for (Sent each : SENT) {
            boolean closed = each.end.startsWith("none");
            ends.merge(each.end, 1, Integer::sum);
            boolean counts = closed && each.onKeptConnection && ran.contains(each.id);
            lost += counts ? 1 : 0;
            record.line(each.id + " " + each.end + (closed && ran.contains(each.id) ? ", and has run" : ""));
        }
        boolean ended = entry.process.waitFor(500, TimeUnit.MILLISECONDS);
        record.line("ends " + ends + "; process " + (ended ? "ended by itself with " + entry.process.exitValue() : "runs"));
        record.line(lost + " requests from kept connections have run and were closed with no answer");
        boolean broken = lost > 3;
        record.line(broken ? "LOST broken" : "LOST held");
        Entry.killAll();
        System.exit(broken ? 1 : 0);
    }

    /** Sends small requests on one connection, one after the other. */
    private static void small(Entry entry, int number, AtomicBoolean over) {
        try (Caller caller = new Caller(entry)) {
            caller.socket.setSoTimeout(12_000);
            for (int i = 0; !over.get(); i++) {
                String end = call(caller, "s" + number + "-" + i, 20, i > 0);
                if (end.startsWith("none")) {
                    return;
                }
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            // this client ends
        }
    }

    /** Each client has used its connection before, and sends its large body on it. */
    private static void round(Entry entry, int round, int count) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            int number = i;
            Daemon.start(() -> {
                try (Caller caller = new Caller(entry)) {
                    caller.socket.setSoTimeout(12_000);
                    call(caller, "f" + round + "-" + number, 20, false);
                    call(caller, "b" + round + "-" + number, BODY_BYTES, true);
                } catch (IOException e) {
                    // this client ends
                }
                ended.countDown();
            });
        }
        ended.await(15, TimeUnit.SECONDS);
    }

    private static String call(Caller caller, String id, int bodyBytes, boolean kept) {
        String end;
        try {
            caller.out.write(Caller.head("POST", "/once/upload", id, 10_000, "", bodyBytes));
            for (int from = 0; from < bodyBytes; from += PIECE_BYTES) {
                caller.out.write(new byte[Math.min(PIECE_BYTES, bodyBytes - from)]);
                Thread.sleep(bodyBytes > PIECE_BYTES ? PIECE_MILLIS : 0);
            }
            Http answer = Http.readHead(caller.in);
            if (answer == null) {
                throw new IOException("closed");
            }
            answer.readBody(caller.in);
            end = String.valueOf(answer.status());
        } catch (InterruptedException e) {
            end = "none: interrupted";
        } catch (IOException e) {
            end = "none: " + e.getMessage();
        }
        SENT.add(new Sent(id, kept, end));
        return end;
    }
}
