package reviewtwo;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Probe: many kept connections, each with one answered request. */
public final class ManyConnections {
    private ManyConnections() {}

    public static void main(String[] arguments) throws Exception {
        int wanted = Integer.parseInt(System.getenv().getOrDefault("N", "3900"));
        int headerBytes = Integer.parseInt(System.getenv().getOrDefault("HEADER", "0"));
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            fleet.store.put("op", "config", Config.text());
            Fleet.Server portal = fleet.server("i-portal", "portal", "v1", "chunked");
            portal.launch();
            portal.list(true, System.currentTimeMillis());
            Fleet.Entry entry = fleet.entry(1);
            entry.launch();
            entry.awaitReady(20_000);
            Thread.sleep(2_000);
            List<Socket> sockets = new ArrayList<>();
            byte[] buffer = new byte[4096];
            int ok = 0;
            for (int i = 0; i < wanted && entry.process.isAlive(); i++) {
                try {
                    Socket socket = new Socket();
                    socket.connect(new InetSocketAddress(entry.ip, entry.frontPort()), 1_000);
                    socket.setSoTimeout(2_000);
                    String body = "bytes=100 work=1";
                    String head = "POST /receipt/x HTTP/1.1\r\nHost: site.example\r\n" + Names.of("requestid") + ": q" + i
                            + "\r\nAuthorization: Bearer " + Config.KEY + "\r\n" + Names.of("deadline") + ": 4000\r\n"
                            + (headerBytes > 0 ? "X-Note: " + "n".repeat(headerBytes) + "\r\n" : "")
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                    int n = socket.getInputStream().read(buffer);
                    if (n > 0 && new String(buffer, 0, n, StandardCharsets.UTF_8).startsWith("HTTP/1.1 200")) {
                        ok++;
                    }
                    sockets.add(socket);
                } catch (java.io.IOException e) {
                    System.out.println(i + " " + e);
                    if (!entry.process.isAlive()) {
                        break;
                    }
                }
            }
            Thread.sleep(500);
            System.out.println("connections " + sockets.size() + ", answered " + ok + ", alive " + entry.process.isAlive()
                    + (entry.process.isAlive() ? "" : ", exit " + entry.process.exitValue()));
            List<String> log = entry.log();
            System.out.println(log.get(log.size() - 1));
            System.exit(entry.process.isAlive() ? 0 : 1);
        }
    }
}
