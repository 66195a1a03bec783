package standin;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: its settings, and the process that the deploy file names. */
public final class Entry {
    private static final List<Process> STARTED = new ArrayList<>();
    private static final Set<Integer> GIVEN = new HashSet<>();
    private static final Random RANDOM = new Random();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::killAll));
    }

    public final String name;
    public final String ip = "127.0.0.1";
    public final int front;
    public final int readiness;
    private final int peers;
    private final int metrics;
    private final Path directory;
    private final int storePort;
    public volatile Process process;

    public Entry(String name, int storePort) throws IOException {
        this.name = name;
        this.storePort = storePort;
        int[] free = freePorts(4);
        front = free[0];
        readiness = free[1];
        peers = free[2];
        metrics = free[3];
        directory = Files.createTempDirectory("review-" + name);
        settings(8);
    }

    /** Chooses free ports below those from which outgoing connections take theirs. */
    private static synchronized int[] freePorts(int count) {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            do {
                ports[i] = 20_000 + RANDOM.nextInt(12_000);
            } while (!GIVEN.add(ports[i]) || !isFree(ports[i]));
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes the settings file, with the figures of the sheet of sebeta-ring. */
    public void settings(int graceSeconds) throws IOException {
        Path next = directory.resolve("node.next");
        Files.writeString(
                next,
                """
                node_name = "%s"
                role = "entry"
                machine_class = "front"
                serves = ["front","control"]
                ip = "%s"
                zone = "hall"
                region = "addis"
                metrics_port = %d
                internal_port_range = [%d,%d]
                bootstrap = true
                [listen]
                front = "%s:%d"
                readiness = "%s:%d"
                [limits]
                memory_mb = 430
                max_fds = 4200
                link_mbps = 1000.0
                [bounds]
                contact_ms = 3000
                drain_timeout_ms = 2000
                grace_s = %d
                retry_budget_ratio = 0.2
                budget_window_s = 10
                budget_slack = 52
                [platform]
                address = "127.0.0.1:%d"
                form = "table"
                writes_per_s = 800
                reads_per_s = 2000
                row_bytes = 65536
                history_s = 20
                """
                        .formatted(
                                name, ip, metrics, peers, peers, ip, front, ip, readiness, graceSeconds, storePort));
        Files.move(next, directory.resolve("node.toml"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the command of the deploy file from the root of the repository. */
    public void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        variables.put(Names.of("settings-variable"), directory.resolve("node.toml").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
        Process started = builder.start();
        synchronized (STARTED) {
            STARTED.add(started);
        }
        process = started;
    }

    public File log() {
        return directory.resolve("log").toFile();
    }

    public boolean ready() {
        try (Socket socket = new Socket(ip, readiness)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
            Http answer = Http.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public void awaitReady() throws InterruptedException, IOException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!ready()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException(name + " did not become ready: " + Files.readString(log().toPath()));
            }
            Thread.sleep(100);
        }
    }

    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    public static void killAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }
}
