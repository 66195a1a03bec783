package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Replicas break off a few of their answers, and answer a second time behind them. */
public final class Stutter {
    private static final int REQUESTS = 600;
    /** Of the answers of each replica. */
    private static final int ONE_IN = 50;

    private Stutter() {}

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        String[] kinds = System.getenv().getOrDefault("KINDS", "length unframed events").split(" ");
        List<String> record = new ArrayList<>();
        int foreign = 0;
        int right = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> replicas = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Fleet.Server replica = fleet.server("i-" + i, i < 2 ? "portal" : "llm", "v1", "chunked");
                replica.launch();
                replica.list(true, System.currentTimeMillis());
                replicas.add(replica);
            }
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(3_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            Map<String, String> sent = new TreeMap<>();
            List<Thread> clients = new ArrayList<>();
            int spoiled = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String kind = kinds[spoiled % kinds.length];
                boolean spoil = trouble && i % ONE_IN == ONE_IN - 1;
                boolean stream = spoil && kind.equals("events");
                String path = stream ? "/once/x" : i % 2 == 0 ? "/status/x" : "/receipt/x";
                String id = "call" + i;
                String named = spoiled / kinds.length % 2 == 1 ? " named=1" : "";
                String body = spoil ? "stutter=" + kind + " missing=" + System.getenv().getOrDefault("MISSING", "20") + " late=20" + named : "bytes=300 work=5";
                spoiled += spoil ? 1 : 0;
                sent.put(id, path + " " + body);
                Thread client = new Thread(() -> answers.put(
                        id,
                        Client.send(
                                entry.ip,
                                entry.frontPort(),
                                "POST",
                                path,
                                stream ? Config.headers(id, id) : Config.plainHeaders(id),
                                body,
                                4_000)));
                client.start();
                clients.add(client);
                Thread.sleep(20);
            }
            for (Thread client : clients) {
                client.join();
            }
            for (int i = 0; i < REQUESTS; i++) {
                String id = "call" + i;
                Client.Answer answer = answers.get(id);
                boolean spoil = sent.get(id).contains("stutter=");
                String whole = "answer to " + id + " " + "x".repeat(300);
                boolean expected = spoil
                        ? whole.equals(answer.body)
                        : answer.body.equals("x".repeat(300));
                boolean success = answer.status == 200 && answer.complete;
                boolean wrong = success && sent.get(id).contains("headcut") || success && (answer.body.contains("HTTP/1.1 500") || !sent.get(id).contains("events") && !expected);
                wrong |= answer.status == 200 && answer.body.contains("HTTP/1.1 500");
                foreign += wrong ? 1 : 0;
                right += success && !wrong ? 1 : 0;
                if (spoil) {
                    record.add(id + " " + sent.get(id) + ": status " + answer.status + ", seal " + answer.seal() + ", " + answer.end
                            + (wrong ? "  <-- MIXED" : ""));
                    record.add("    body: " + answer.body.replace("\r", "\\r").replace("\n", "\\n"));
                }
            }
            record.add("other requests answered with their whole answer: " + right);
            for (Fleet.Server replica : replicas) {
                replica.log.stream().filter(line -> line.contains("STUTTERED")).forEach(record::add);
            }
        }
        record.add(0, "requests " + REQUESTS + ", successes with bytes that are not of the replica's body " + foreign);
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(foreign > 0 ? 1 : right == 0 ? 2 : 0);
    }
}
