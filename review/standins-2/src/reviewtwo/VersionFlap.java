package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Replicas go down and up by turns, and start again under their identifiers with another software version. Their rows
 * say so at the next heartbeat.
 */
public final class VersionFlap {
    private static final int EVENTS = 30;
    private static final int REPLICAS = 7;
    private static final int ENTRIES = 3;

    private VersionFlap() {}

    private static long setting(String name, long otherwise) {
        return Long.parseLong(System.getenv().getOrDefault(name, String.valueOf(otherwise)));
    }

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long heartbeat = setting("ROW", 1_100);
        long up = setting("UP", 1_500);
        long down = setting("DOWN", 400);
        long gap = setting("GAP", 100);
        List<String> record = new ArrayList<>();
        int mixed = 0;
        int whole = 0;
        int streams = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                Fleet.Server replica = fleet.server("i-" + i, "llm", "v1", "chunked");
                replica.launch();
                replica.list(true, System.currentTimeMillis());
                replicas.add(replica);
            }
            List<Fleet.Entry> entries = new ArrayList<>();
            for (int i = 0; i < ENTRIES; i++) {
                entries.add(fleet.entry(i));
                entries.get(i).launch();
            }
            for (Fleet.Entry entry : entries) {
                entry.awaitReady(20_000);
            }
            Thread.sleep(3_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            boolean[] ends = {false};
            Thread traffic = new Thread(() -> {
                for (int i = 0; !ends[0]; i++) {
                    String id = "stream" + i;
                    Fleet.Entry entry = entries.get(i % ENTRIES);
                    Thread client = new Thread(() -> answers.put(
                            id,
                            Client.send(
                                    entry.ip,
                                    entry.frontPort(),
                                    "POST",
                                    "/draft/x",
                                    Config.headers(id, "p" + id),
                                    "events=" + EVENTS + " gap=75",
                                    15_000)));
                    client.start();
                    clients.add(client);
                    try {
                        Thread.sleep(gap);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            traffic.start();
            Thread.sleep(2_500);
            for (int i = 0; i < 5; i++) {
                Fleet.Server replica = replicas.get(i);
                if (trouble) {
                    replica.process.destroyForcibly().waitFor();
                    Thread.sleep(down);
                    replica.version = "v2";
                    long born = System.currentTimeMillis();
                    replica.launch();
                    Thread.sleep(heartbeat);
                    replica.list(true, born);
                    Thread.sleep(up - heartbeat);
                    replica.process.destroyForcibly().waitFor();
                    Thread.sleep(down);
                    born = System.currentTimeMillis();
                    replica.launch();
                    Thread.sleep(heartbeat);
                    replica.list(true, born);
                }
                Thread.sleep(2_000);
            }
            ends[0] = true;
            traffic.join();
            for (Thread client : clients) {
                client.join();
            }
            streams = answers.size();
            for (int i = 0; i < streams; i++) {
                Client.Answer answer = answers.get("stream" + i);
                TreeSet<String> versions = new TreeSet<>();
                for (String event : answer.body.split("\n\n", -1)) {
                    int by = event.lastIndexOf(" by ");
                    if (by > 0) {
                        versions.add(event.substring(by + 4));
                    }
                }
                whole += answer.complete && answer.events().size() == EVENTS ? 1 : 0;
                boolean broken = versions.size() > 1;
                mixed += broken ? 1 : 0;
                record.add("stream" + i + ": status " + answer.status + ", " + answer.events().size() + " events by "
                        + versions + ", " + answer.end + (broken ? "  <-- ORDER" : ""));
            }
            for (Fleet.Server replica : replicas) {
                record.add("replica " + replica.id);
                replica.log.stream().filter(line -> !line.contains("EVENT")).forEach(record::add);
            }
        }
        record.add(0, "streams " + streams + ", whole " + whole + ", with events of two versions " + mixed);
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(mixed > 2 ? 1 : whole == 0 ? 2 : 0);
    }
}
