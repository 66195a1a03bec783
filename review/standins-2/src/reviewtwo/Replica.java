package reviewtwo;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for a replica, a process of its own. Arguments: identifier, address, port, software version, framing
 * (chunked or unframed). Commands come on the standard input: "leave" makes all later answers say that it is leaving, "stutter N" spoils one answer in N, "cold MS" makes it cold for that time.
 * What it does is written to the standard output: RUN id first last, EVENT id number, END id.
 *
 * <p>The body of a request to a stream is "events=N gap=MS"; that of a plain request "bytes=N work=MS".
 */
public final class Replica {
    private final String id;
    private final String version;
    private final boolean framed;
    private volatile boolean leaving;
    private volatile long coldUntilMillis;
    /** One in so many answers is spoiled; 0 for none. */
    private volatile int spoilOneIn;
    private int answers;
    /** Request that was answered last. */
    private volatile String previous = "none";
    private final PrintStream log = System.out;

    private Replica(String id, String version, boolean framed) {
        this.id = id;
        this.version = version;
        this.framed = framed;
    }

    /** Runs until the process is killed or its standard input ends. */
    public static void main(String[] arguments) throws IOException {
        Replica replica = new Replica(arguments[0], arguments[3], arguments[4].equals("chunked"));
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(arguments[1], Integer.parseInt(arguments[2])), 500);
        Thread accepting = new Thread(() -> replica.accept(server));
        accepting.setDaemon(true);
        accepting.start();
        replica.line("LISTENING " + server.getLocalPort());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String command = commands.readLine(); command != null; command = commands.readLine()) {
            if (command.equals("leave")) {
                replica.leaving = true;
                replica.line("LEAVING");
            }
            if (command.startsWith("stutter ")) {
                replica.spoilOneIn = Integer.parseInt(command.substring(8));
                replica.line("STUTTERS, one in " + replica.spoilOneIn);
            }
            if (command.startsWith("cold ")) {
                replica.coldUntilMillis = System.currentTimeMillis() + Long.parseLong(command.substring(5));
                replica.line("COLD " + command.substring(5));
            }
        }
    }

    private synchronized void line(String text) {
        log.println(System.currentTimeMillis() + " " + text);
        log.flush();
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            boolean goesOn = true;
            while (goesOn) {
                Map<String, String> headers = new TreeMap<>();
                String first = readHead(in, headers);
                if (first == null) {
                    return;
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                goesOn = first.startsWith("GET /health ") ? health(out) : answer(headers, body, out);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The other side has closed the connection.
        }
    }

    private boolean health(OutputStream out) throws IOException {
        long coldMillis = Math.max(0, coldUntilMillis - System.currentTimeMillis());
        String cold = coldMillis > 0 ? "X-Cold-Ms: " + coldMillis + "\r\n" : "";
        write(out, "HTTP/1.1 " + (leaving ? 503 : 200) + " X\r\nX-Instance-Id: " + id + "\r\n" + cold
                + "Content-Length: 0\r\n\r\n");
        return true;
    }

    private static String readHead(InputStream in, Map<String, String> headers) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.UTF_8).split("\r\n");
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return lines[0];
    }

    private static String header(Map<String, String> headers, String key) {
        return headers.getOrDefault(Names.of(key).toLowerCase(Locale.ROOT), "");
    }

    private boolean answer(Map<String, String> headers, String body, OutputStream out)
            throws IOException, InterruptedException {
        String request = header(headers, "requestid");
        String expected = header(headers, "instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            line("MISDIRECTED " + request);
            write(out, head(request, 421, Names.of("notrun") + ": 1\r\nContent-Length: 0\r\n"));
            return true;
        }
        int spoiled = spoiled();
        if (spoiled > 0) {
            return stutter(request, body, spoiled, out);
        }
        return body.startsWith("events=") ? stream(request, headers, body, out) : plain(request, body, out);
    }

    private boolean stream(String request, Map<String, String> headers, String body, OutputStream out)
            throws IOException, InterruptedException {
        if (body.contains("crash=")) {
            line("RUN " + request + " 1 1 crashing");
            Thread.sleep(number(body, "crash="));
            line("CRASH " + request);
            Runtime.getRuntime().halt(3);
        }
        int events = number(body, "events=");
        int gap = number(body, "gap=");
        int from = Integer.parseInt(headers.getOrDefault("last-event-id", "0")) + 1;
        line("RUN " + request + " " + from + " " + events);
        String framing = framed ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n";
        write(out, head(request, 200, "Content-Type: text/event-stream\r\n" + framing));
        for (int event = from; event <= events; event++) {
            Thread.sleep(gap);
            String text = event(event, request);
            write(out, framed ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
            line("EVENT " + request + " " + event);
        }
        if (framed) {
            write(out, "0\r\n\r\n");
        }
        previous = request;
        line("END " + request);
        return framed;
    }

    /** Counts an answer; returns the number of spoiled ones so far if it is one of them, or else 0. */
    private synchronized int spoiled() {
        answers++;
        return spoilOneIn > 0 && answers % spoilOneIn == 0 ? answers / spoilOneIn : 0;
    }

    /**
     * Answers a request twice: with the head and a part of the body of a success, and 20 ms later with a whole failure.
     * The first answer is a stream without a length, which breaks off within its second event, or one with a length that
     * lacks its last 20 bytes, or one without a length that is whole. Each second failure that can do so names the request
     * before, the others none.
     */
    private boolean stutter(String request, String body, int number, OutputStream out)
            throws IOException, InterruptedException {
        line("RUN " + request + " 1 1");
        boolean stream = body.startsWith("events=");
        boolean length = !stream && number % 2 == 1;
        String earlier = previous;
        boolean naming = (stream ? number % 2 : number / 2 % 2) == 0 && !earlier.equals("none");
        String named = naming ? Names.of("requestid") + ": " + earlier + "\r\n" : "";
        String text = stream ? "" : text(request, body);
        if (stream) {
            write(
                    out,
                    head(request, 200, "Content-Type: text/event-stream\r\nConnection: close\r\n") + event(1, request)
                            + event(2, request).substring(0, 20));
        } else if (length) {
            write(
                    out,
                    head(request, 200, "Content-Length: " + text.length() + "\r\n")
                            + text.substring(0, text.length() - 20));
        } else {
            write(out, head(request, 200, "Connection: close\r\n") + text);
        }
        Thread.sleep(20);
        write(
                out,
                "HTTP/1.1 500 Internal Server Error\r\n" + named
                        + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\nerror\n");
        previous = request;
        line("STUTTERED " + request + (stream ? " events" : length ? " length" : " unframed")
                + (naming ? ", second answer to " + earlier : ", second answer to none"));
        return length;
    }

    private static String text(String request, String body) {
        return "answer to " + request + " " + "x".repeat(number(body, "bytes="));
    }

    private String event(int number, String request) {
        return "id: " + number + "\ndata: event " + number + " of " + request + " by " + version + "\n\n";
    }

    private boolean plain(String request, String body, OutputStream out) throws IOException, InterruptedException {
        previous = request;
        line("RUN " + request + " 1 1" + (System.currentTimeMillis() < coldUntilMillis ? " cold" : ""));
        Thread.sleep(number(body, "work="));
        String text = text(request, body);
        write(out, head(request, 200, "Content-Length: " + text.length() + "\r\n") + text);
        line("END " + request);
        return true;
    }

    private static int number(String body, String name) {
        int start = body.indexOf(name) + name.length();
        int end = start;
        while (end < body.length() && Character.isDigit(body.charAt(end))) {
            end++;
        }
        return Integer.parseInt(body.substring(start, end));
    }

    private String head(String request, int status, String others) {
        return "HTTP/1.1 " + status + " X\r\n" + Names.of("requestid") + ": " + request + "\r\n" + others
                + (status == 200 ? Names.of("seal") + ": " + id + "." + request + "\r\n" : "")
                + (leaving ? Names.of("leaving") + ": 1\r\n" : "") + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
