package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Streams without a length or chunks, at a replica that is gone two seconds after it has said that it leaves. */
public final class SpotStreams {
    private static final int STREAMS = 56;
    private static final int REPLICAS = 7;
    private static final int EVENTS = 70;

    private SpotStreams() {}

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        String framing = System.getenv().getOrDefault("FRAMING", "unframed");
        List<String> record = new ArrayList<>();
        int violations = 0;
        int succeeded = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            long now = System.currentTimeMillis();
            List<Fleet.Server> replicas = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                Fleet.Server replica = fleet.server("i-" + i, "llm", "v1", framing);
                replica.launch();
                replica.list(true, now);
                replicas.add(replica);
            }
            Fleet.Server leaver = replicas.get(0);
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(3_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "stream" + i;
                Thread client = new Thread(() -> answers.put(
                        id,
                        Client.send(
                                entry.ip,
                                entry.frontPort(),
                                "POST",
                                "/draft/x",
                                Config.headers(id, "p" + id),
                                "events=" + EVENTS + " gap=100",
                                15_000)));
                client.start();
                clients.add(client);
                Thread.sleep(20);
            }
            Thread.sleep(1_000);
            if (trouble) {
                leaver.command("leave");
                leaver.list(false, now);
                Thread.sleep(2_000);
                leaver.process.destroyForcibly().waitFor();
                fleet.store.remove("servers", leaver.id);
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(300);
            for (int i = 0; i < STREAMS; i++) {
                String id = "stream" + i;
                Client.Answer answer = answers.get(id);
                List<Integer> events = answer.events();
                boolean whole = events.size() == EVENTS;
                for (int n = 0; n < events.size(); n++) {
                    whole &= events.get(n) == n + 1;
                }
                boolean ran = leaver.log.stream().anyMatch(line -> line.contains("RUN " + id + " "));
                boolean broken = answer.complete && answer.status == 200 && !whole;
                violations += broken ? 1 : 0;
                succeeded += answer.complete && whole ? 1 : 0;
                record.add(id + ": status " + answer.status + ", " + events.size() + " of " + EVENTS + " events, "
                        + answer.end + (ran ? ", began at the leaving replica" : "") + (broken ? "  <-- ORDER" : ""));
            }
            record.add("");
            record.add("what the leaving replica did:");
            record.addAll(leaver.log);
            record.add("what the other replicas did:");
            replicas.stream().skip(1).flatMap(replica -> replica.log.stream()).filter(line -> !line.contains("EVENT")).forEach(record::add);
        }
        record.add(0, "streams " + STREAMS + ", whole " + succeeded + ", ended as complete ahead of their last event "
                + violations);
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(violations > 0 ? 1 : succeeded == 0 ? 2 : 0);
    }
}
