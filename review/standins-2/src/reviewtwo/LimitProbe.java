package reviewtwo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Probe: a limit for all entries together, beside kills and freezes of entries. */
public final class LimitProbe {
    private LimitProbe() {}

    public static void main(String[] arguments) throws Exception {
        String mode = System.getenv().getOrDefault("MODE", "kill");
        double limit = Double.parseDouble(System.getenv().getOrDefault("LIMIT", "8"));
        int n = 4;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            List<Fleet.Server> all = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Fleet.Server server = fleet.server("i-" + i, "portal", "v1", "chunked");
                server.launch();
                server.list(true, System.currentTimeMillis());
                all.add(server);
            }
            List<Fleet.Entry> entries = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                entries.add(fleet.entry(i));
                entries.get(i).launch();
            }
            for (Fleet.Entry entry : entries) {
                entry.awaitReady(20_000);
            }
            Thread.sleep(14_000);
            boolean[] ends = {false};
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            Thread traffic = new Thread(() -> {
                for (int i = 0; !ends[0]; i++) {
                    Fleet.Entry entry = entries.get(i % n);
                    String id = entry.number + "." + i;
                    Thread t = new Thread(() -> answers.put(id, Client.send(
                            entry.ip, entry.frontPort(), "POST", "/receipt/x", Config.plainHeaders(id), "bytes=10 work=5", 2_000)));
                    t.setDaemon(true);
                    t.start();
                    try {
                        Thread.sleep(8);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            traffic.start();
            Thread.sleep(2_000);
            for (Fleet.Server s : all) {
                s.command("limit " + limit);
            }
            long named = System.currentTimeMillis();
            Thread.sleep(4_000);
            List<String> struck = new ArrayList<>();
            for (int turn = 0; turn < 5; turn++) {
                Fleet.Entry entry = entries.get(turn % n);
                struck.add(System.currentTimeMillis() - named + " " + entry.number);
                if (mode.equals("kill")) {
                    entry.process.destroyForcibly().waitFor();
                    Thread.sleep(300);
                    entry.launch();
                    Thread.sleep(4_500);
                } else {
                    Fleet.signal(entry.process, "STOP");
                    Thread.sleep(4_000);
                    Fleet.signal(entry.process, "CONT");
                    Thread.sleep(1_500);
                }
            }
            ends[0] = true;
            traffic.join();
            Thread.sleep(2_000);
            for (Fleet.Server s : all) {
                List<Long> times = new ArrayList<>();
                List<Integer> from = new ArrayList<>();
                for (String line : s.log) {
                    if (line.contains(" RUN ")) {
                        long t = Long.parseLong(line.substring(0, line.indexOf(' '))) - named;
                        if (t > 3_000) {
                            times.add(t);
                            String id = line.split(" ")[2];
                            from.add(Integer.parseInt(id.substring(0, id.indexOf('.'))));
                        }
                    }
                }
                int most = 0;
                long at = 0;
                Map<Integer, Integer> by = new TreeMap<>();
                for (int i = 0; i < times.size(); i++) {
                    Map<Integer, Integer> b = new TreeMap<>();
                    int c = 0;
                    for (int j = i; j < times.size() && times.get(j) - times.get(i) < 4_000; j++) {
                        c++;
                        b.merge(from.get(j), 1, Integer::sum);
                    }
                    if (c > most) {
                        most = c;
                        at = times.get(i);
                        by = b;
                    }
                }
                System.out.println(s.id + ": most in 4 s " + most + " at " + at + " by entry " + by + ", allowed "
                        + (1.5 * 4 * limit + 5) + "; struck " + struck);
            }
        }
        System.exit(0);
    }
}
