package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A request crashes each replica that begins to run it, some time after its client has given it up. */
public final class CrashAfterLeave {
    private static final int REPLICAS = 5;
    private static final int ENTRIES = 2;
    private static final int CONTACT_MILLIS = 3_000;
    /** A client gives a stream up after a gap of four times the objective of 800 ms. */
    private static final int PATIENCE_MILLIS = 3_200;

    private CrashAfterLeave() {}

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int crashMillis = Integer.parseInt(System.getenv().getOrDefault("CRASH", "3600"));
        List<String> record = new ArrayList<>();
        long late = 0;
        int crashes = 0;
        long served = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> replicas = new ArrayList<>();
            boolean[] ends = {false};
            for (int i = 0; i < REPLICAS; i++) {
                Fleet.Server replica = fleet.server("i-" + i, "llm", "v1", "chunked");
                replica.launch();
                replica.list(true, System.currentTimeMillis());
                replicas.add(replica);
                Thread keeping = new Thread(() -> keepUp(replica, ends));
                keeping.setDaemon(true);
                keeping.start();
            }
            List<Fleet.Entry> entries = new ArrayList<>();
            for (int i = 0; i < ENTRIES; i++) {
                entries.add(fleet.entry(i));
                entries.get(i).launch();
            }
            for (Fleet.Entry entry : entries) {
                entry.awaitReady(20_000);
            }
            Thread.sleep(4_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new CopyOnWriteArrayList<>();
            Thread traffic = new Thread(() -> {
                for (int i = 0; !ends[0]; i++) {
                    String id = "sound" + i;
                    Fleet.Entry entry = entries.get(i % ENTRIES);
                    Thread client = new Thread(() -> answers.put(
                            id,
                            Client.send(
                                    entry.ip,
                                    entry.frontPort(),
                                    "POST",
                                    "/once/x",
                                    Config.headers(id, "p" + id),
                                    "events=20 gap=75",
                                    15_000)));
                    client.start();
                    clients.add(client);
                    sleep(100);
                }
            });
            Thread crashing = new Thread(() -> {
                for (int i = 0; trouble && !ends[0]; i++) {
                    String id = "crasher" + i;
                    Fleet.Entry entry = entries.get(i % ENTRIES);
                    answers.put(
                            id,
                            Client.send(
                                    entry.ip,
                                    entry.frontPort(),
                                    "POST",
                                    "/once/y",
                                    Config.headers(id, "crasher"),
                                    "events=1 crash=" + crashMillis,
                                    15_000,
                                    PATIENCE_MILLIS));
                    sleep(1_000);
                }
            });
            traffic.start();
            crashing.start();
            Thread.sleep(58_000);
            ends[0] = true;
            traffic.join();
            crashing.join();
            for (Thread client : clients) {
                client.join();
            }
            List<Long> ended = new ArrayList<>();
            for (Fleet.Server replica : replicas) {
                replica.log.stream().filter(line -> line.contains(" CRASH ")).map(CrashAfterLeave::time).forEach(ended::add);
            }
            ended.sort(null);
            crashes = ended.size();
            TreeMap<Long, String> runs = new TreeMap<>();
            for (Fleet.Server replica : replicas) {
                replica.log.stream()
                        .filter(line -> line.endsWith("crashing"))
                        .forEach(line -> runs.put(time(line), line + " at " + replica.id));
            }
            long third = crashes < 3 ? Long.MAX_VALUE - CONTACT_MILLIS : ended.get(2);
            late = runs.keySet().stream().filter(at -> at > third + CONTACT_MILLIS).count();
            long sound = answers.keySet().stream().filter(id -> id.startsWith("sound")).count();
            served = answers.entrySet().stream()
                    .filter(each -> each.getKey().startsWith("sound"))
                    .filter(each -> each.getValue().complete && each.getValue().status == 200)
                    .count();
            long cut = answers.entrySet().stream()
                    .filter(each -> each.getKey().startsWith("sound"))
                    .filter(each -> !each.getValue().complete)
                    .count();
            record.add("sound streams: " + sound + ", whole " + served + ", broken off " + cut);
            record.add("crashes at: " + ended);
            runs.values().forEach(record::add);
            for (int i = 0; answers.containsKey("crasher" + i); i++) {
                Client.Answer answer = answers.get("crasher" + i);
                record.add("crasher" + i + ": status " + answer.status + " " + answer.end + " " + answer.body.trim());
            }
        }
        record.add(
                0,
                "crashes " + crashes + ", the request reached replicas " + late + " times later than " + CONTACT_MILLIS
                        + " ms after the third");
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.out.println(record.get(1));
        System.exit(late > 3 ? 1 : served == 0 ? 2 : 0);
    }

    /** Starts a replica again some seconds after it has crashed. */
    private static void keepUp(Fleet.Server replica, boolean[] ends) {
        try {
            while (!ends[0]) {
                replica.process.waitFor();
                if (ends[0]) {
                    return;
                }
                Thread.sleep(2_000);
                long born = System.currentTimeMillis();
                replica.launch();
                replica.list(true, born);
            }
        } catch (Exception e) {
            // The case has ended.
        }
    }

    private static long time(String line) {
        return Long.parseLong(line.substring(0, line.indexOf(' ')));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
