package reviewtwo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Probe: bytes without end. */
public final class Endless {
    private Endless() {}

    public static void main(String[] arguments) throws Exception {
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> all = new ArrayList<>();
            for (String service : new String[] {"llm", "llm", "portal", "portal"}) {
                Fleet.Server server = fleet.server("i-" + all.size(), service, "v1", "chunked");
                server.launch();
                server.list(true, System.currentTimeMillis());
                all.add(server);
            }
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(3_000);
            int parallel = Integer.parseInt(System.getenv().getOrDefault("PAR", "12"));
            for (int kind = 1; kind <= 13; kind++) {
                Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
                List<Thread> threads = new ArrayList<>();
                long start = System.currentTimeMillis();
                for (int i = 0; i < parallel; i++) {
                    String id = "k" + kind + "n" + i;
                    boolean stream = kind == 5 || kind == 6 || i % 2 == 0;
                    String path = stream ? (i % 4 == 0 ? "/draft/x" : "/once/x") : (i % 3 == 0 ? "/receipt/x" : "/status/x");
                    String body = "endless=" + kind;
                    Thread t = new Thread(() -> answers.put(
                            id,
                            Client.send(
                                    entry.ip, entry.frontPort(), "POST", path,
                                    stream ? Config.headers(id, id) : Config.plainHeaders(id), body, 4_000)));
                    t.start();
                    threads.add(t);
                }
                Thread.sleep(300);
                Map<String, Integer> sound = new TreeMap<>();
                for (int i = 0; i < 10; i++) {
                    long at = System.currentTimeMillis();
                    Client.Answer answer = Client.send(
                            entry.ip, entry.frontPort(), "POST", "/receipt/x", Config.plainHeaders("s" + kind + "." + i),
                            "bytes=100 work=5", 4_000);
                    sound.merge(answer.status + answer.end, 1, Integer::sum);
                }
                for (Thread t : threads) {
                    t.join();
                }
                Map<String, Integer> seen = new TreeMap<>();
                answers.values().forEach(a -> seen.merge(a.status + " " + a.end, 1, Integer::sum));
                System.out.println("kind " + kind + ": " + seen + ", sound " + sound + ", alive " + entry.process.isAlive()
                        + ", " + (System.currentTimeMillis() - start) + " ms");
            }
            for (String line : entry.log()) {
                if (!line.startsWith("{")) {
                    System.out.println(line);
                }
            }
        }
        System.exit(0);
    }
}
