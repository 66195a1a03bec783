package reviewtwo;

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

/** Stand-in for the platform's store: rows in tables, transactions under conditions, and change feeds. */
final class Store implements AutoCloseable {
    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
    private final TreeMap<Long, ObjectNode> history = new TreeMap<>();
    private final HttpServer server;
    private final long startNanos = System.nanoTime();
    private long version;
    private long historyFrom;
    private long era = 1;

    /** Status of the answers to all calls; 0 for normal operation. */
    volatile int failStatus;

    /** Whether calls get no answer and are not carried out. */
    volatile boolean silent;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized void put(String table, String key, String value) {
        version++;
        ObjectNode row = row(table, key)
                .put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        rows.put(id(table, "", key), row);
        history.put(version, row);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        rows.remove(id(table, "", key));
        history.put(version, row(table, key).put("gone", true));
        notifyAll();
    }

    private ObjectNode row(String table, String key) {
        return json.createObjectNode().put("table", table).put("part", "").put(Names.of("key"), key).put("ver", version);
    }

    /** Text of a row's value; empty if there is none. */
    synchronized String value(String table, String key) {
        ObjectNode row = rows.get(id(table, "", key));
        return row == null
                ? ""
                : new String(Base64.getDecoder().decode(row.path("value").asText()), StandardCharsets.UTF_8);
    }

    /** State of the store at one moment. */
    record Copy(TreeMap<String, ObjectNode> rows, TreeMap<Long, ObjectNode> history, long version) {}

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(rows), new TreeMap<>(history), version);
    }

    /** Comes back from a copy: what was written since is gone, and versions go on from the copy's. */
    synchronized void restore(Copy copy) {
        rows.clear();
        rows.putAll(copy.rows());
        history.clear();
        history.putAll(copy.history());
        version = copy.version();
        era++;
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            byte[] sent = exchange.getRequestBody().readAllBytes();
            if (silent) {
                Thread.sleep(120_000);
                return;
            }
            if (failStatus != 0) {
                answer(exchange, failStatus, json.createObjectNode());
                return;
            }
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange);
            if (path.equals(Names.of("tx"))) {
                transact(exchange, json.readTree(sent));
            } else if (path.equals(Names.of("get"))) {
                list(exchange, query);
            } else if (path.equals(Names.of("feed"))) {
                feed(exchange, query);
            } else {
                answer(exchange, 404, json.createObjectNode());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void transact(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        Thread.sleep(5);
        int status = 200;
        ObjectNode reply = json.createObjectNode();
        synchronized (this) {
            ArrayNode current = json.createArrayNode();
            for (JsonNode expected : body.path(Names.of("expected"))) {
                ObjectNode row = rows.get(id(expected));
                long found = row == null ? 0 : row.path("ver").asLong();
                if (found != expected.path("ver").asLong()) {
                    status = 412;
                }
                if (row != null) {
                    current.add(row);
                }
            }
            if (status == 200) {
                version++;
                for (JsonNode change : body.path("put")) {
                    ObjectNode row = ((ObjectNode) change.deepCopy()).put("ver", version);
                    rows.put(id(change), row);
                    history.put(version, row);
                }
                notifyAll();
            } else {
                reply.set("rows", current);
            }
            stamp(reply);
        }
        answer(exchange, status, reply);
    }

    private void list(HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode reply = json.createObjectNode().put("more", false);
        synchronized (this) {
            ArrayNode found = reply.putArray("rows");
            String from = query.getOrDefault("from", "");
            rows.values().stream()
                    .filter(row -> row.path("table").asText().equals(query.get("table")))
                    .filter(row -> row.path("part").asText().equals(query.getOrDefault("part", "")))
                    .filter(row -> row.path(Names.of("key")).asText().compareTo(from) >= 0)
                    .forEach(found::add);
            stamp(reply);
        }
        answer(exchange, 200, reply);
    }

    private void feed(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        long since = Long.parseLong(query.get("since_revision"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ObjectNode reply = json.createObjectNode();
        int status = 200;
        synchronized (this) {
            while (true) {
                if (since < historyFrom || since > version) {
                    status = 410;
                    break;
                }
                ArrayNode changed = json.createArrayNode();
                history.tailMap(since, false).values().stream()
                        .filter(row -> row.path("table").asText().equals(query.get("table")))
                        .forEach(changed::add);
                long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
                if (!changed.isEmpty() || leftMillis <= 0) {
                    reply.set("rows", changed);
                    break;
                }
                wait(leftMillis);
            }
            stamp(reply);
        }
        answer(exchange, status, reply);
    }

    private void stamp(ObjectNode reply) {
        reply.put("ver", version).put("now_ms", (System.nanoTime() - startNanos) / 1_000_000);
    }

    private void answer(HttpExchange exchange, int status, ObjectNode reply) throws IOException {
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", String.valueOf(era));
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static String id(JsonNode key) {
        return id(
                key.path("table").asText(),
                key.path("part").asText(),
                key.path(Names.of("key")).asText());
    }

    private static String id(String table, String part, String key) {
        return table + "\n" + part + "\n" + key;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&", -1)) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
