package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store, as PROTOCOL.md describes it: rows in tables, transactions, lists and feeds. */
public final class Store {
    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
    private final TreeMap<Long, ObjectNode> history = new TreeMap<>();
    private final HttpServer server;
    private final long start = System.nanoTime();
    private long version;

    /** What happens to calls; set by a case. */
    public interface Trouble {
        /** Returns "" to serve the call, "503" to turn it away, "lost" to serve it and lose its answer. */
        String of(String path, String body);
    }

    public volatile Trouble trouble = (path, body) -> "";

    public Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
        server.createContext(Names.of("transaction"), this::serve);
        server.createContext(Names.of("list"), this::serve);
        server.createContext(Names.of("feed"), this::serve);
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    private static String id(JsonNode row) {
        return row.path("table").asText() + "\n" + row.path("part").asText() + "\n" + row.path(Names.of("row-key")).asText();
    }

    /** Writes a row as the operator or a replica does. */
    public synchronized void put(String table, String key, String value) {
        version++;
        ObjectNode row = json.createObjectNode();
        row.put("table", table).put("part", "").put(Names.of("row-key"), key).put("ver", version);
        row.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        rows.put(id(row), row);
        history.put(version, row);
        notifyAll();
    }

    /** Removes a row. */
    public synchronized void remove(String table, String key) {
        version++;
        ObjectNode row = json.createObjectNode();
        row.put("table", table).put("part", "").put(Names.of("row-key"), key).put("ver", version).put("gone", true);
        rows.remove(id(row));
        history.put(version, row);
        notifyAll();
    }

    public synchronized String value(String table, String key) {
        ObjectNode row = rows.get(table + "\n\n" + key);
        return row == null ? "" : new String(Base64.getDecoder().decode(row.path("value").asText()), StandardCharsets.UTF_8);
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath();
            byte[] body = exchange.getRequestBody().readAllBytes();
            String what = trouble.of(path, new String(body, StandardCharsets.UTF_8));
            if (what.equals("503")) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            ObjectNode answer = json.createObjectNode();
            int status = 200;
            if (path.equals(Names.of("transaction"))) {
                status = transact(json.readTree(body), answer);
            } else if (path.equals(Names.of("list"))) {
                list(query(exchange), answer);
            } else {
                feed(query(exchange), answer);
            }
            if (what.equals("lost")) {
                Thread.sleep(60_000);
            }
            byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void stamp(ObjectNode answer) {
        answer.put("ver", version).put("now_ms", (System.nanoTime() - start) / 1_000_000);
    }

    private synchronized int transact(JsonNode call, ObjectNode answer) {
        ArrayNode current = json.createArrayNode();
        boolean match = true;
        for (JsonNode each : call.path(Names.of("expected-rows"))) {
            ObjectNode row = rows.get(id(each));
            match &= (row == null ? 0 : row.path("ver").asLong()) == each.path("ver").asLong();
            if (row != null) {
                current.add(row);
            }
        }
        if (match) {
            version++;
            for (JsonNode each : call.path("put")) {
                ObjectNode row = ((ObjectNode) each).deepCopy();
                row.put("ver", version);
                rows.put(id(row), row);
                history.put(version, row);
            }
            notifyAll();
        } else {
            answer.set("rows", current);
        }
        stamp(answer);
        return match ? 200 : 412;
    }

    private synchronized void list(Map<String, String> query, ObjectNode answer) {
        ArrayNode listed = answer.putArray("rows");
        rows.values().stream()
                .filter(row -> row.path("table").asText().equals(query.get("table")))
                .forEach(listed::add);
        answer.put("more", false);
        stamp(answer);
    }

    private synchronized void feed(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long since = Long.parseLong(query.get("since_revision"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            ArrayNode changed = json.createArrayNode();
            history.tailMap(since, false).values().stream()
                    .filter(row -> row.path("table").asText().equals(query.get("table")))
                    .forEach(changed::add);
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                answer.set("rows", changed);
                stamp(answer);
                return;
            }
            wait(left);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
