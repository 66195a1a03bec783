package reviewtwo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A replica turns cold while the machine that sends to it is partitioned from the store. */
public final class ColdUnheard {
    private static final double COLD_PER_SECOND = 10;
    private static final long MOST_IN_ONE_SECOND = (long) (COLD_PER_SECOND * 1.5 + 5);
    private static final long COLD_MILLIS = 3_000;

    private ColdUnheard() {}

    /** Arguments: root of the repository, folder of the case. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> record = new ArrayList<>();
        int most = 0;
        int answered = 0;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            long born = System.currentTimeMillis();
            Fleet.Server turning = fleet.server("i-turning", "portal", "v1", "chunked");
            Fleet.Server warm = fleet.server("i-warm", "portal", "v1", "chunked");
            turning.launch();
            warm.launch();
            turning.list(true, born);
            warm.list(true, born);
            Fleet.Entry entry = fleet.entry(1);
            Link link = entry.cuttable();
            entry.launch();
            Fleet.Entry other = fleet.entry(2);
            other.launch();
            entry.awaitReady(20_000);
            other.awaitReady(20_000);
            Thread.sleep(4_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            boolean[] ends = {false};
            Thread traffic = new Thread(() -> {
                for (int i = 0; !ends[0]; i++) {
                    String id = "check" + i;
                    Fleet.Entry at = i % 4 == 0 ? other : entry;
                    Thread client = new Thread(() -> answers.put(
                            id,
                            Client.send(
                                    at.ip,
                                    at.frontPort(),
                                    "POST",
                                    "/receipt/x",
                                    Config.plainHeaders(id),
                                    "bytes=800 work=20",
                                    4_000)));
                    client.start();
                    clients.add(client);
                    try {
                        Thread.sleep(12);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            traffic.start();
            Thread.sleep(3_000);
            if (trouble) {
                link.cut();
                Thread.sleep(500);
            }
            turning.list(true, born, COLD_MILLIS);
            Thread.sleep(400);
            turning.command("cold " + (COLD_MILLIS - 400));
            Thread.sleep(COLD_MILLIS);
            link.heal();
            Thread.sleep(1_500);
            ends[0] = true;
            traffic.join();
            for (Thread client : clients) {
                client.join();
            }
            answered = (int) answers.values().stream().filter(each -> each.status == 200).count();
            List<Long> cold = turning.log.stream()
                    .filter(line -> line.endsWith(" cold"))
                    .map(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                    .sorted()
                    .toList();
            for (int from = 0; from < cold.size(); from++) {
                int count = 0;
                for (int i = from; i < cold.size() && cold.get(i) - cold.get(from) < 1_000; i++) {
                    count++;
                }
                most = Math.max(most, count);
            }
            Map<Integer, Integer> statuses = new TreeMap<>();
            answers.values().forEach(each -> statuses.merge(each.status, 1, Integer::sum));
            record.add("answers by status: " + statuses);
            record.add("requests that the cold replica began: " + cold.size());
            record.addAll(turning.log);
        }
        record.add(0, "most requests that the cold replica got in one second: " + most + " of " + MOST_IN_ONE_SECOND);
        Files.write(Path.of(arguments[1], "record.txt"), record);
        System.out.println(record.get(0));
        System.exit(most > MOST_IN_ONE_SECOND ? 1 : answered == 0 ? 2 : 0);
    }
}
