package reviewtwo;

import java.nio.file.Path;

/** Probe: the configuration grows by many routes. */
public final class BigConfig {
    private BigConfig() {}

    public static void main(String[] arguments) throws Exception {
        int step = Integer.parseInt(System.getenv().getOrDefault("STEP", "1400"));
        int steps = Integer.parseInt(System.getenv().getOrDefault("STEPS", "8"));
        int gap = Integer.parseInt(System.getenv().getOrDefault("GAP", "3000"));
        int storm = Integer.parseInt(System.getenv().getOrDefault("STORM", "0"));
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            Fleet.Server portal = fleet.server("i-portal", "portal", "v1", "chunked");
            portal.launch();
            portal.list(true, System.currentTimeMillis());
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(2_000);
            int version = 7;
            for (int i = 1; i <= steps && entry.process.isAlive(); i++) {
                String text = Config.text(++version, 100_000_000L, i * step);
                fleet.store.put("op", "config", text);
                Thread.sleep(gap);
                for (int j = 0; j < storm; j++) {
                    fleet.store.put("op", "config", Config.text(++version, 100_000_000L, i * step));
                    Thread.sleep(330);
                }
                Client.Answer answer = Client.send(
                        entry.ip, entry.frontPort(), "POST", "/receipt/x", Config.plainHeaders("q" + i), "bytes=10 work=1", 4000);
                System.out.println(i * step + " routes, " + text.length() + " bytes: alive " + entry.process.isAlive()
                        + ", answer " + answer.status + " " + answer.end);
            }
            System.out.println(entry.process.isAlive() ? "alive" : "exit " + entry.process.exitValue());
            java.util.List<String> log = entry.log();
            for (String line : log) {
                if (!line.startsWith("{")) {
                    System.out.println(line);
                }
            }
            System.exit(entry.process.isAlive() ? 0 : 1);
        }
    }
}
