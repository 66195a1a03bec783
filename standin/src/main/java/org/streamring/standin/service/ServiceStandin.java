package org.streamring.standin.service;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.table.RowText;
import org.streamring.standin.engine.RunRecord;
import org.streamring.standin.http.Exchange;
import org.streamring.standin.http.StandinServer;

/** A plain service that answers every call after a while and counts what it did. */
public final class ServiceStandin implements AutoCloseable {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final List<RunRecord> records = new CopyOnWriteArrayList<>();
    private final long workMillis;
    private final StandinServer server;

    /**
     * Starts to listen.
     *
     * @param workMillis time that a call takes
     */
    public ServiceStandin(int port, long workMillis) {
        this.workMillis = workMillis;
        this.server = new StandinServer(port, this::handle);
    }

    /** Address for clients. */
    public String url() {
        return server.url();
    }

    /** What it ran. */
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
