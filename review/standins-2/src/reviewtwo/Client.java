package reviewtwo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client that sends one request on a connection of its own and reads its answer. */
final class Client {
    /** What a client has received. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>();
        String body = "";
        boolean complete;
        String end = "";

        /** Numbers of the events that arrived whole, in their order. */
        List<Integer> events() {
            List<Integer> numbers = new ArrayList<>();
            for (String event : body.split("\n\n", -1)) {
                if (event.startsWith("id: ") && event.contains("\ndata: ")) {
                    numbers.add(Integer.parseInt(event.substring(4, event.indexOf('\n'))));
                }
            }
            return numbers;
        }

        String seal() {
            return headers.getOrDefault(Names.of("seal").toLowerCase(Locale.ROOT), "");
        }
    }

    private Client() {}

    /** Sends a request; the deadline is also the longest wait for a byte of the answer. */
    static Answer send(
            String ip, int port, String method, String path, Map<String, String> headers, String body, int deadlineMillis) {
        return send(ip, port, method, path, headers, body, deadlineMillis, deadlineMillis);
    }

    /** Sends a request, and closes the connection once no byte has come for as long as is given last. */
    static Answer send(
            String ip,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int deadlineMillis,
            int patienceMillis) {
        Answer answer = new Answer();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(patienceMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append(Names.of("deadline")).append(": ").append(deadlineMillis).append("\r\n");
            head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            read(socket.getInputStream(), answer);
        } catch (SocketTimeoutException e) {
            answer.end = "no byte within the deadline";
        } catch (IOException e) {
            answer.end = "connection: " + e.getMessage();
        }
        return answer;
    }

    private static void read(InputStream in, Answer answer) throws IOException {
        String status = line(in);
        if (status == null) {
            answer.end = "closed without an answer";
            return;
        }
        answer.status = Integer.parseInt(status.split(" ")[1]);
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            answer.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        if (answer.headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            readChunks(in, answer);
            return;
        }
        int length = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        answer.body = new String(body, StandardCharsets.UTF_8);
        answer.complete = body.length == length;
        answer.end = answer.complete ? "complete" : "closed in the body";
    }

    private static void readChunks(InputStream in, Answer answer) throws IOException {
        StringBuilder body = new StringBuilder();
        try {
            while (true) {
                String size = line(in);
                if (size == null) {
                    answer.end = "closed in the stream";
                    return;
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.append(new String(in.readNBytes(length), StandardCharsets.UTF_8));
                line(in);
                if (length == 0) {
                    answer.complete = true;
                    answer.end = "complete";
                    return;
                }
            }
        } finally {
            answer.body = body.toString();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
