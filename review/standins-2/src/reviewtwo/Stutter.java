package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Half of the replicas answer a few of their requests a second time, behind a part of the first answer. */
public final class Stutter {
    private static final int REQUESTS = 1_200;
    private static final int ONE_IN = 50;
    private static final int EVENTS = 3;

    private Stutter() {}

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> record = new ArrayList<>();
        int foreign = 0;
        int spoiled = 0;
        int right = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> replicas = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Fleet.Server replica = fleet.server("i-" + i, i < 2 ? "portal" : "llm", "v1", "chunked");
                replica.launch();
                replica.list(true, System.currentTimeMillis());
                if (trouble && i % 2 == 0) {
                    replica.command("stutter " + ONE_IN);
                }
                replicas.add(replica);
            }
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(3_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                boolean stream = i % 2 == 0;
                String path = stream ? "/once/x" : i % 4 == 1 ? "/status/x" : "/receipt/x";
                String id = "call" + i;
                Thread client = new Thread(() -> answers.put(
                        id,
                        Client.send(
                                entry.ip,
                                entry.frontPort(),
                                "POST",
                                path,
                                stream ? Config.headers(id, id) : Config.plainHeaders(id),
                                stream ? "events=" + EVENTS + " gap=40" : "bytes=300 work=5",
                                4_000)));
                client.start();
                clients.add(client);
                Thread.sleep(15);
            }
            for (Thread client : clients) {
                client.join();
            }
            for (int i = 0; i < REQUESTS; i++) {
                String id = "call" + i;
                boolean stream = i % 2 == 0;
                Client.Answer answer = answers.get(id);
                boolean wrong = answer.status == 200 && !(stream ? isPartOfStream(answer, id) : isBody(answer, id));
                foreign += wrong ? 1 : 0;
                right += answer.status == 200 && answer.complete && !wrong ? 1 : 0;
                String stuttered = replicas.stream()
                        .flatMap(replica -> replica.log.stream())
                        .filter(line -> line.contains("STUTTERED " + id + " "))
                        .findFirst()
                        .orElse("");
                spoiled += stuttered.isEmpty() ? 0 : 1;
                if (!stuttered.isEmpty() || wrong) {
                    record.add(id + ": status " + answer.status + ", seal " + answer.seal() + ", " + answer.end + "; " + stuttered
                            + (wrong ? "  <-- MIXED" : ""));
                    record.add("    body: " + answer.body.replace("\r", "\\r").replace("\n", "\\n"));
                }
            }
            record.add("answers that are right and whole: " + right);
        }
        record.add(
                0,
                "requests " + REQUESTS + ", answers spoiled " + spoiled
                        + ", successes with bytes that are not of the replica's answer " + foreign);
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(foreign > 0 ? 1 : right == 0 ? 2 : 0);
    }

    /** Whether the body is that of the success; an answer that did not arrive whole may hold less. */
    private static boolean isBody(Client.Answer answer, String id) {
        String whole = "answer to " + id + " " + "x".repeat(300);
        return answer.complete ? whole.equals(answer.body) : whole.startsWith(answer.body);
    }

    private static boolean isPartOfStream(Client.Answer answer, String id) {
        StringBuilder whole = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            whole.append("id: ").append(event).append("\ndata: event ").append(event).append(" of ").append(id)
                    .append(" by v1\n\n");
        }
        return answer.complete ? whole.toString().equals(answer.body) : whole.toString().startsWith(answer.body);
    }
}
