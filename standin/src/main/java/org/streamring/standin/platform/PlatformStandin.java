package org.streamring.standin.platform;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.model.box.BackendServer;
import org.streamring.platform.http.HttpBoxList.Boxes;
import org.streamring.platform.http.TableMessages.NamesAnswer;
import org.streamring.platform.http.TableMessages.ReadCall;
import org.streamring.platform.http.TableMessages.RowsAnswer;
import org.streamring.platform.http.TableMessages.ScanCall;
import org.streamring.platform.http.TableMessages.TransactAnswer;
import org.streamring.platform.http.TableMessages.TransactCall;
import org.streamring.standin.http.Exchange;
import org.streamring.standin.http.StandinServer;

/**
 * A stand-in for the services of the platform, on one loopback port. It accepts two access keys: with the fleet key,
 * clients can't write configuration; with the operator key, they can.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final String TRANSACT_PATH = "/v1/table/transact";
    private static final JsonMapper MAPPER = new JsonMapper();

    private final InMemoryTable table = new InMemoryTable();
    private final ConcurrentSkipListMap<String, String> objects = new ConcurrentSkipListMap<>();
    private final AtomicLong transactionCounter = new AtomicLong();
    private final AtomicInteger transactionsReceived = new AtomicInteger();
    private final String fleetKey;
    private final String operatorKey;
    private final StandinServer server;
    private volatile List<BackendServer> boxes = List.of();
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    /** Starts the platform on the given port of 127.0.0.1; 0 for any free port. */
    public PlatformStandin(int port, String fleetKey, String operatorKey) {
        this.fleetKey = "Bearer " + fleetKey;
        this.operatorKey = "Bearer " + operatorKey;
        this.server = new StandinServer(port, this::handle);
    }

    /** Returns the base URL for clients. */
    public String url() {
        return server.url();
    }

    /** Returns the table, for tests. */
    public InMemoryTable table() {
        return table;
    }

    /** Returns the number of stored objects, for tests. */
    public int objectCount() {
        return objects.size();
    }

    /** Replaces the injected faults. */
    public void setFaults(PlatformFaults newFaults) {
        faults = newFaults;
    }

    /** Replaces the box list. */
    public void setBoxes(List<BackendServer> servers) {
        boxes = List.copyOf(servers);
    }

    private void handle(Exchange exchange) {
        if (exchange.path().startsWith("/control/")) {
            handleControl(exchange);
            return;
        }
        boolean authorized = exchange.header("Authorization").equals(fleetKey)
                || exchange.header("Authorization").equals(operatorKey);
        if (!authorized) {
            exchange.answer(UNAUTHORIZED, "text/plain", "unknown key");
            return;
        }
        if (exchange.path().equals(TRANSACT_PATH)) {
            transactionsReceived.incrementAndGet();
        }
        PlatformFaults currentFaults = faults;
        if (currentFaults.down()) {
            // Sends no response, like a service that hangs, so that the call ends by the timeout of the caller.
            return;
        }
        if (currentFaults.delayMillis() > 0) {
            server.timers()
                    .schedule(() -> serve(exchange, currentFaults), currentFaults.delayMillis(), TimeUnit.MILLISECONDS);
        } else {
            serve(exchange, currentFaults);
        }
    }

    /** Returns the number of transactions that have arrived so far. */
    public int transactionsReceived() {
        return transactionsReceived.get();
    }

    private void serve(Exchange exchange, PlatformFaults currentFaults) {
        try {
            switch (exchange.path()) {
                case TRANSACT_PATH -> transact(exchange, currentFaults);
                case "/v1/table/read" ->
                    exchange.answerJson(RowText.write(new RowsAnswer(table.read(
                            RowText.read(exchange.body(), ReadCall.class).keys()))));
                case "/v1/table/scan" -> scan(exchange);
                case "/v1/objects" -> objects(exchange, currentFaults);
                case "/v1/boxes" -> exchange.answerJson(RowText.write(new Boxes(boxes)));
                default -> exchange.answer(NOT_FOUND, "text/plain", "not found");
            }
        } catch (RuntimeException e) {
            exchange.answer(BAD_REQUEST, "text/plain", String.valueOf(e.getMessage()));
        }
    }

    private void transact(Exchange exchange, PlatformFaults currentFaults) {
        Transaction transaction =
                RowText.read(exchange.body(), TransactCall.class).toTransaction();
        boolean writesConfiguration = transaction.operations().stream()
                .anyMatch(operation -> operation.key().startsWith("config/"));
        if (writesConfiguration && !exchange.header("Authorization").equals(operatorKey)) {
            exchange.answer(UNAUTHORIZED, "text/plain", "only operators write configuration");
            return;
        }
        boolean loseResponse =
                currentFaults.loseEvery() > 0 && transactionCounter.incrementAndGet() % currentFaults.loseEvery() == 0;
        if (loseResponse) {
            server.timers()
                    .schedule(() -> table.transact(transaction), currentFaults.lateMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        TransactionResult result = table.transact(transaction);
        exchange.answerJson(RowText.write(TransactAnswer.of(result)));
    }

    private void scan(Exchange exchange) {
        ScanCall call = RowText.read(exchange.body(), ScanCall.class);
        exchange.answerJson(RowText.write(new RowsAnswer(table.scan(call.prefix(), call.after(), call.limit()))));
    }

    private void objects(Exchange exchange, PlatformFaults currentFaults) {
        if (currentFaults.objectsDown()) {
            return;
        }
        String name = exchange.parameter("name");
        if (exchange.method().equals("PUT")) {
            objects.put(name, exchange.body());
            exchange.answerJson("{}");
        } else if (name.isEmpty()) {
            String prefix = exchange.parameter("prefix");
            List<String> names = new ArrayList<>(objects.tailMap(prefix).keySet());
            names.removeIf(found -> !found.startsWith(prefix));
            exchange.answerJson(RowText.write(new NamesAnswer(names)));
        } else if (objects.containsKey(name)) {
            exchange.answerJson(objects.get(name));
        } else {
            exchange.answer(NOT_FOUND, "text/plain", "no such object");
        }
    }

    private void handleControl(Exchange exchange) {
        switch (exchange.path()) {
            case "/control/boxes" -> {
                boxes = RowText.read(exchange.body(), Boxes.class).backendServers();
                exchange.answerJson("{}");
            }
            case "/control/faults" -> {
                faults = RowText.read(exchange.body(), PlatformFaults.class);
                exchange.answerJson("{}");
            }
            case "/control/counts" ->
                exchange.answerJson(MAPPER.createObjectNode()
                        .put("transactions", table.transactions())
                        .put("reads", table.reads())
                        .put("rows", table.scan("", "", Integer.MAX_VALUE).size())
                        .put(
                                "entries",
                                table.scan(RowKeys.ENTRIES, "", Integer.MAX_VALUE)
                                        .size())
                        .toString());
            default -> exchange.answer(NOT_FOUND, "text/plain", "not found");
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
