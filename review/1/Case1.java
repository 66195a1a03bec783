package case1;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import standin.Caller;
import standin.Config;
import standin.Daemon;
import standin.Entry;
import standin.Http;
import standin.Record;
import standin.Replica;
import standin.Store;

/** 100 requests a second on kept connections; the machine stands still for 4 s and wakes again. */
public final class Case1 {
    private static final int CLIENTS = 600;
    private static final int PER_SECOND = 100;
    private static final int SECONDS = 12;
    private static final long FREEZE_AT_MILLIS = 6_000;
    private static final long FREEZE_MILLIS = 4_000;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long CONTACT_MILLIS = 3_000;

    private static final class Request {
        String id;
        long sentNanos;
        volatile long endedNanos;
        volatile String end = "";

        long millis() {
            return (endedNanos - sentNanos) / 1_000_000;
        }

        boolean answered() {
            return !end.isEmpty() && !end.startsWith("none");
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(arguments[1]);
        Record record = new Record(Path.of(arguments[0]));
        Store store = new Store();
        List<Replica> replicas = new ArrayList<>();
        store.put("op", "config", Config.text(1, 1_000_000, TIMEOUT_MILLIS, "{}"));
        for (int i = 1; i <= 3; i++) {
            Replica replica = new Replica("i-" + i, null);
            replica.work(replica.plain(86, new byte[800]));
            replicas.add(replica);
            store.put("servers", replica.id, replica.row("app", 6));
        }
        Entry entry = new Entry("front-1", store.port());
        entry.start();
        entry.awaitReady();
        List<Caller> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Caller(entry));
        }
        record.line("ready; trouble " + trouble);
        List<Request> sent = new ArrayList<>();
        long start = System.nanoTime();
        if (trouble) {
            Daemon.start(() -> freeze(entry, record));
        }
        for (int i = 0; i < SECONDS * PER_SECOND; i++) {
            long wait = start + i * (1_000_000_000L / PER_SECOND) - System.nanoTime();
            Thread.sleep(Math.max(0, wait / 1_000_000));
            sent.add(send(clients.get(i % CLIENTS), "r" + i));
        }
        long lastSent = System.nanoTime();
        while (System.nanoTime() < lastSent + (TIMEOUT_MILLIS + 1_000) * 1_000_000L) {
            Thread.sleep(100);
        }
        boolean ready = entry.ready();
        int outlasted = 0;
        int unanswered = 0;
        Map<String, Integer> ends = new TreeMap<>();
        for (Request each : sent) {
            String end = each.end.isEmpty() ? "none" : each.end;
            ends.merge(end, 1, Integer::sum);
            long at = (each.sentNanos - start) / 1_000_000;
            record.line(each.id + " sent at " + at + ", " + end + (each.answered() ? " after " + each.millis() + " ms" : ""));
            boolean inTouch = !trouble
                    || at + TIMEOUT_MILLIS < FREEZE_AT_MILLIS
                    || at + TIMEOUT_MILLIS > FREEZE_AT_MILLIS + FREEZE_MILLIS + CONTACT_MILLIS + 500;
            if (inTouch && (!each.answered() || each.millis() > TIMEOUT_MILLIS)) {
                outlasted++;
                if (!each.answered() || each.millis() > TIMEOUT_MILLIS + 500) {
                    unanswered++;
                }
            }
        }
        for (Replica replica : replicas) {
            record.line(replica.id + " ran " + replica.ran.size());
        }
        record.line("ends " + ends + "; process alive " + entry.process.isAlive() + ", ready " + ready);
        record.line(outlasted + " requests outlasted timeout_ms while the machine was in touch; " + unanswered
                + " of them have no answer 0.5 s after it");
        boolean broken = unanswered >= 8 && 2 * unanswered > outlasted;
        record.line(broken ? "CONFIG broken" : "CONFIG held");
        Entry.killAll();
        System.exit(broken ? 1 : 0);
    }

    private static void freeze(Entry entry, Record record) {
        try {
            Thread.sleep(FREEZE_AT_MILLIS);
            entry.signal("STOP");
            record.line("machine stands still");
            Thread.sleep(FREEZE_MILLIS);
            entry.signal("CONT");
            record.line("machine goes on");
        } catch (IOException | InterruptedException e) {
            record.line("the signal could not be sent: " + e);
            Runtime.getRuntime().exit(2);
        }
    }

    private static Request send(Caller client, String id) throws IOException {
        Request request = new Request();
        request.id = id;
        request.sentNanos = System.nanoTime();
        client.out.write(Caller.head("POST", "/once/checkin", id, TIMEOUT_MILLIS, "", 20));
        client.out.write(new byte[20]);
        Daemon.start(() -> {
            try {
                client.socket.setSoTimeout((int) TIMEOUT_MILLIS + 1_000);
                Http answer = Http.readHead(client.in);
                if (answer == null) {
                    throw new IOException("closed");
                }
                answer.readBody(client.in);
                request.endedNanos = System.nanoTime();
                request.end = String.valueOf(answer.status());
            } catch (IOException e) {
                request.end = "none: " + e.getMessage();
            }
        });
        return request;
    }
}
