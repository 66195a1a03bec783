package case4;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import standin.Caller;
import standin.Config;
import standin.Daemon;
import standin.Entry;
import standin.Http;
import standin.Names;
import standin.Record;
import standin.Replica;
import standin.Store;

/**
 * All machines are killed at once and start again. Clients take their streams up again once the machines are in touch;
 * other clients begin new streams at the same time. Without the trouble the clients' connections end by themselves.
 */
public final class Case4 {
    private static final int ENTRIES = 3;
    private static final int STREAMS = 30;
    private static final int NEW_STREAMS = 15;
    private static final int EVENTS = 120;
    private static final long EVENT_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long KILL_AFTER_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 1_500;
    /** From the kill on; contact_ms (3 s) after the restart, and some time to start. */
    private static final long RESUME_AFTER_MILLIS = 6_500;

    private record Seen(String id, int status, List<Integer> events, String end) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(arguments[1]);
        Record record = new Record(Path.of(arguments[0]));
        Store store = new Store();
        store.put("op", "config", Config.text(1, 100_000_000));
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Replica replica = new Replica("i-" + i, null);
            replica.work(stream(replica));
            replicas.add(replica);
            store.put("servers", replica.id, replica.row("llm", 64));
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 1; i <= ENTRIES; i++) {
            Entry entry = new Entry("front-" + i, store.port());
            entry.start();
            entries.add(entry);
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        Thread.sleep(4_000);
        record.line("ready; trouble " + trouble);
        List<Seen> first = new CopyOnWriteArrayList<>();
        List<Caller> callers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < STREAMS; i++) {
            String id = "r" + i;
            Entry entry = entries.get(i % ENTRIES);
            threads.add(Daemon.start(() -> first.add(read(entry, id, DEADLINE_MILLIS, "", callers))));
        }
        Thread.sleep(KILL_AFTER_MILLIS);
        if (trouble) {
            for (Entry entry : entries) {
                entry.process.destroyForcibly();
            }
            record.line("all machines are killed");
            Thread.sleep(DOWN_MILLIS);
            for (Entry entry : entries) {
                entry.start();
            }
            for (Entry entry : entries) {
                entry.awaitReady();
            }
            record.line("all machines are ready again");
        } else {
            for (Caller caller : callers) {
                caller.close();
            }
            record.line("the clients' connections end");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long wait = start + (KILL_AFTER_MILLIS + RESUME_AFTER_MILLIS) * 1_000_000 - System.nanoTime();
        Thread.sleep(Math.max(0, wait / 1_000_000));
        long leftMillis = DEADLINE_MILLIS - (System.nanoTime() - start) / 1_000_000;
        List<Seen> resumed = new CopyOnWriteArrayList<>();
        List<Seen> begun = new CopyOnWriteArrayList<>();
        threads.clear();
        int number = 0;
        for (Seen each : first) {
            record.line(each.id + " " + each.status + ", " + each.events.size() + " events, " + each.end);
            if (each.events.isEmpty()) {
                continue;
            }
            Entry entry = entries.get(++number % ENTRIES);
            int last = each.events.get(each.events.size() - 1);
            String more = "Last-Event-Id: " + last + "\r\nResumes: " + each.id + "\r\n";
            threads.add(Daemon.start(() -> resumed.add(read(entry, each.id + "-again", leftMillis, more, callers))));
        }
        for (int i = 0; i < NEW_STREAMS; i++) {
            String id = "n" + i;
            Entry entry = entries.get(i % ENTRIES);
            threads.add(Daemon.start(() -> begun.add(read(entry, id, DEADLINE_MILLIS, "", callers))));
        }
        for (Thread thread : threads) {
            thread.join(16_000);
        }
        int goOn = count(resumed, record);
        int begin = count(begun, record);
        record.line(goOn + " of " + resumed.size() + " streams that are taken up go on; " + begin + " of " + begun.size()
                + " new streams begin");
        boolean broken = resumed.size() >= 12
                && (double) goOn / resumed.size() < 0.5 * begin / begun.size();
        record.line(broken ? "LOST broken" : "LOST held");
        Entry.killAll();
        System.exit(broken ? 1 : resumed.size() < 12 ? 2 : 0);
    }

    private static int count(List<Seen> streams, Record record) {
        int with = 0;
        for (Seen each : streams) {
            record.line(each.id + " " + each.status + ", " + each.events.size() + " events, " + each.end);
            with += each.events.isEmpty() ? 0 : 1;
        }
        return with;
    }

    private static Replica.Work stream(Replica replica) {
        return (request, socket, in, out) -> {
            request.readBody(in);
            replica.ran(request);
            String last = request.header("last-event-id");
            Replica.streamHead(out, request, replica.id);
            for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
                Replica.chunk(out, "id: " + i + "\ndata: v1 " + i + "\n\n");
                Thread.sleep(EVENT_MILLIS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return true;
        };
    }

    private static Seen read(Entry entry, String id, long deadlineMillis, String more, List<Caller> callers) {
        List<Integer> events = new ArrayList<>();
        int status = 0;
        String end;
        try (Caller caller = new Caller(entry)) {
            callers.add(caller);
            caller.socket.setSoTimeout(15_000);
            String headers = more + Names.model("100,700", "a1:100");
            caller.out.write(Caller.head("POST", "/resume/x", id, deadlineMillis, headers, 20));
            caller.out.write(new byte[20]);
            Http answer = Http.readHead(caller.in);
            if (answer == null) {
                throw new IOException("closed");
            }
            status = answer.status();
            if (status == 200) {
                events(caller, events);
            } else {
                answer.readBody(caller.in);
            }
            end = status == 200 ? "complete" : new String(answer.body, StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            end = "broken off: " + e.getMessage();
        }
        return new Seen(id, status, events, end);
    }

    private static void events(Caller caller, List<Integer> events) throws IOException {
        StringBuilder text = new StringBuilder();
        int size;
        do {
            size = Integer.parseInt(Http.readLine(caller.in), 16);
            text.append(new String(Http.exactly(caller.in, size), StandardCharsets.UTF_8));
            Http.readLine(caller.in);
            for (int at = text.indexOf("\n\n"); at >= 0; at = text.indexOf("\n\n")) {
                events.add(Integer.parseInt(text.substring(4, text.indexOf("\ndata"))));
                text.delete(0, at + 2);
            }
        } while (size > 0);
    }
}
