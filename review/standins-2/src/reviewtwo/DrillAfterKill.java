package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** All entries are killed in a drill, in which the store comes back from a copy some seconds old. */
public final class DrillAfterKill {
    private static final int ENTRIES = 3;
    private static final int EVENTS = 20;
    private static final int TOKENS_PER_EVENT = 5;
    private static final int PROMPT = 500;

    private DrillAfterKill() {}

    private static long setting(String name, long otherwise) {
        return Long.parseLong(System.getenv().getOrDefault(name, String.valueOf(otherwise)));
    }

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int killed = (int) setting("KILL", ENTRIES);
        long prepaid = setting("PREPAID", 200_000);
        long age = setting("AGE", 4_000);
        long gap = setting("GAP", 50);
        List<String> record = new ArrayList<>();
        long handedOut = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text(7, prepaid));
            List<Fleet.Server> replicas = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
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
            long start = System.currentTimeMillis();
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
                                    "events=" + EVENTS + " gap=20",
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
            Thread.sleep(2_000);
            Store.Copy copy = fleet.store.copy();
            record.add((System.currentTimeMillis() - start) + " ms: the copy is made; used by then "
                    + tokens(replicas) + "; row: " + fleet.store.value("streamring-prepaid", "hule930"));
            Thread.sleep(age);
            record.add((System.currentTimeMillis() - start) + " ms: used by now " + tokens(replicas) + "; row: "
                    + fleet.store.value("streamring-prepaid", "hule930"));
            if (trouble) {
                for (Fleet.Entry entry : entries.subList(0, killed)) {
                    entry.process.destroyForcibly();
                }
                fleet.store.failStatus = 503;
                Thread.sleep(500);
                fleet.store.restore(copy);
                fleet.store.failStatus = 0;
                for (Fleet.Entry entry : entries.subList(0, killed)) {
                    entry.launch();
                }
            }
            Thread.sleep(25_000);
            ends[0] = true;
            traffic.join();
            for (Thread client : clients) {
                client.join();
            }
            handedOut = tokens(replicas);
            Map<Integer, Integer> statuses = new TreeMap<>();
            answers.values().forEach(each -> statuses.merge(each.status, 1, Integer::sum));
            record.add("requests sent: " + answers.size() + "; answers by status (0: none): " + statuses);
            record.add((System.currentTimeMillis() - start) + " ms: used " + handedOut + " of " + prepaid + "; row: "
                    + fleet.store.value("streamring-prepaid", "hule930"));
            for (Fleet.Server replica : replicas) {
                record.add("replica " + replica.id);
                replica.log.stream().filter(line -> !line.contains("EVENT")).forEach(record::add);
            }
        }
        record.add(0, "prompts read and events handed out: " + handedOut + " tokens of " + prepaid + " prepaid");
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(handedOut > prepaid ? 1 : handedOut < prepaid / 2 ? 2 : 0);
    }

    /** Tokens of all prompts that were begun and of all events that were written. */
    private static long tokens(List<Fleet.Server> replicas) {
        long tokens = 0;
        for (Fleet.Server replica : replicas) {
            for (String line : replica.log) {
                tokens += line.contains(" RUN ") ? PROMPT : line.contains(" EVENT ") ? TOKENS_PER_EVENT : 0;
            }
        }
        return tokens;
    }
}
