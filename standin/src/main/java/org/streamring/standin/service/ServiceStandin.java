package org.streamring.standin.service;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.table.RowText;
import org.streamring.standin.engine.RunRecord;
import org.streamring.standin.http.Exchange;
import org.streamring.standin.http.StandinServer;

/** A stand-in for a plain service, which answers each call after a fixed time and records it. */
public final class ServiceStandin implements AutoCloseable {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final List<RunRecord> records = new CopyOnWriteArrayList<>();
    private final long workMillis;
    private final StandinServer server;

    /**
     * Starts the service.
     *
     * @param port port on 127.0.0.1; 0 for any free port
     * @param workMillis time from a call to its answer
     */
    public ServiceStandin(int port, long workMillis) {
        this.workMillis = workMillis;
        this.server = new StandinServer(port, this::handle);
    }

    /** Returns the base URL for clients. */
    public String url() {
        return server.url();
    }

    /** Returns the records of all calls that were run. */
    public List<RunRecord> records() {
        return List.copyOf(records);
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals("/control/record")) {
            exchange.answerJson(RowText.write(records));
            return;
        }
        String request = exchange.header("X-Streamring-Request");
        records.add(new RunRecord(exchange.header("X-Request-Id"), request, 0, 0, true));
        String answer = MAPPER.createObjectNode()
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("calls", records.size())
                .put("request", request)
                .toString();
        server.timers().schedule(() -> exchange.answerJson(answer), workMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.close();
    }
}
