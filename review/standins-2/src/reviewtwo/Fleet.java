package reviewtwo;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store, replicas as processes, and entries as processes with the command
 * of the deploy file. Each machine has an address of its own. Closing it ends all processes that it started.
 */
final class Fleet implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;

    private final Path root;
    private final Path work;
    private final String net;
    private final int port;
    private final List<Process> started = new CopyOnWriteArrayList<>();
    final Store store;
    private int nextMachine = 10;

    /** A process of the system on its machine. */
    final class Entry {
        final String name;
        final String ip;
        final int number;
        volatile Process process;
        /** Link to the store, if it is one that can be cut. */
        volatile Link storeLink;

        private Entry(int number) {
            this.number = number;
            this.name = "front-" + number;
            this.ip = net + (100 + number);
        }

        int frontPort() {
            return port;
        }

        /** Makes the entry reach the store over a link that can be cut. */
        Link cuttable() throws IOException {
            storeLink = new Link(net + "2", net + "1", store.port());
            return storeLink;
        }

        void launch() throws IOException {
            Path settings = work.resolve(name + ".toml");
            Files.writeString(settings, settings(this));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().put(Names.of("boot"), settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
            process = builder.start();
            started.add(process);
        }

        boolean ready() {
            try {
                HttpURLConnection connection = (HttpURLConnection)
                        URI.create("http://" + ip + ":" + (port + 1) + "/v1/ready").toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                return connection.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long millis) throws InterruptedException {
            long until = System.currentTimeMillis() + millis;
            while (!ready()) {
                if (System.currentTimeMillis() > until) {
                    throw new IllegalStateException(name + " did not become ready");
                }
                Thread.sleep(50);
            }
        }

        List<String> log() throws IOException {
            return Files.readAllLines(work.resolve(name + ".log"));
        }
    }

    /** A replica: its process, and its row in the store. */
    final class Server {
        final String id;
        final String service;
        final String ip;
        final int serverPort;
        final String framing;
        volatile String version;
        volatile Process process;
        final List<String> log = new CopyOnWriteArrayList<>();

        private Server(String id, String service, String version, String framing) throws IOException {
            this.id = id;
            this.service = service;
            this.version = version;
            this.framing = framing;
            this.ip = net + nextMachine++;
            this.serverPort = freePort(ip);
        }

        void launch() throws IOException, InterruptedException {
            ProcessBuilder builder = new ProcessBuilder(
                    System.getProperty("java.home") + "/bin/java",
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "reviewtwo.Replica",
                    id,
                    ip,
                    String.valueOf(serverPort),
                    version,
                    framing);
            builder.redirectError(ProcessBuilder.Redirect.INHERIT);
            process = builder.start();
            started.add(process);
            Process current = process;
            int before = log.size();
            Thread reading = new Thread(() -> readLog(current));
            reading.setDaemon(true);
            reading.start();
            for (int i = 0; i < 200; i++) {
                if (log.stream().skip(before).anyMatch(line -> line.contains("LISTENING"))) {
                    return;
                }
                Thread.sleep(25);
            }
            throw new IllegalStateException(id + " does not listen");
        }

        private void readLog(Process from) {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    log.add(line);
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        void list(boolean ready, long born) {
            list(ready, born, 0);
        }

        void list(boolean ready, long born, long coldMillis) {
            store.put(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + serverPort
                            + "\",\"zone\":\"hall-a\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\""
                            + (ready ? "ready" : "draining") + "\",\"cold_remaining_ms\":" + coldMillis
                            + ",\"call_seq\":0,\"born\":" + born
                            + "}");
        }

        void command(String text) throws IOException {
            process.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
            process.getOutputStream().flush();
        }
    }

    Fleet(Path root) throws IOException {
        this.root = root;
        this.work = Files.createTempDirectory("review-2-");
        Random random = new Random();
        this.net = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
        this.store = new Store(net + "1");
        this.port = freeBlock();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Path work() {
        return work;
    }

    Entry entry(int number) {
        return new Entry(number);
    }

    Server server(String id, String service, String version, String framing) throws IOException {
        return new Server(id, service, version, framing);
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                List<String> words =
                        new ArrayList<>(Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" ")));
                words.set(0, System.getProperty("java.home") + "/bin/" + words.get(0));
                return words;
            }
        }
        throw new IOException("the deploy file names no command");
    }

    private String settings(Entry entry) {
        return String.join(
                "\n",
                "node_name = \"" + entry.name + "\"",
                "role = \"entry\"",
                "machine_class = \"front\"",
                "serves = [\"front\",\"control\"]",
                "ip = \"" + entry.ip + "\"",
                "zone = \"hall-a\"",
                "region = \"addis\"",
                "internal_port_range = [" + (port + 3) + "," + (port + 18) + "]",
                "bootstrap = true",
                "heartbeat_ms = 1200",
                "[listen]",
                "front = \"" + entry.ip + ":" + port + "\"",
                "readiness = \"" + entry.ip + ":" + (port + 1) + "\"",
                "control = \"" + entry.ip + ":" + (port + 2) + "\"",
                "[limits]",
                "cpu_share = 0.57",
                "cpu_cores = 1",
                "memory_mb = 430",
                "max_fds = 4200",
                "link_mbps = 1000.0",
                "[bounds]",
                "contact_ms = 3000",
                "drain_timeout_ms = 2000",
                "grace_s = 8",
                "config_apply_ms = 2000",
                "max_skew_ms = 5000",
                "retry_budget_ratio = 0.2",
                "budget_window_s = 10",
                "budget_slack = 52",
                "cold_overage = 1.5",
                "cold_slack = 5",
                "pass_ms = 120",
                "[platform]",
                "address = \"" + net
                        + (entry.storeLink == null ? "1:" + store.port() : "2:" + entry.storeLink.port()) + "\"",
                "form = \"table\"",
                "writes_per_s = 800",
                "reads_per_s = 2000",
                "");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    /** Returns the first of twenty ports that are free now on the machines' addresses. */
    private int freeBlock() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 100; i++) {
            int first = FIRST_PORT + random.nextInt(10_000);
            try (ServerSocket one = new ServerSocket();
                    ServerSocket other = new ServerSocket()) {
                one.bind(new InetSocketAddress(net + "101", first));
                other.bind(new InetSocketAddress(net + "101", first + 3));
                return first;
            } catch (IOException e) {
                // Taken; another block is tried.
            }
        }
        throw new IOException("no free ports");
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        for (Process process : started) {
            process.destroyForcibly();
        }
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        File[] files = work.toFile().listFiles();
        for (File file : files == null || System.getenv("KEEP") != null ? new File[0] : files) {
            file.delete();
        }
        work.toFile().delete();
    }
}
