package org.streamring.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.table.RowText;
import org.streamring.standin.http.Exchange;
import org.streamring.standin.http.StandinServer;

/**
 * A stand-in for a model engine that listens on a loopback port. Its batch, queue and cache are confined to the event
 * loop of the server.
 */
public final class EngineStandin implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;

    private final EngineSettings settings;
    private final PrefixCache cache;
    private final List<Sequence> waiting = new ArrayList<>();
    private final List<Sequence> batch = new ArrayList<>();
    private final List<RunRecord> records = new CopyOnWriteArrayList<>();
    private final StandinServer server;
    private volatile EngineFaults faults = EngineFaults.NONE;
    private boolean stepScheduled;
    private long promptTokens;
    private long cachedTokens;

    /** Starts the engine on the given port of 127.0.0.1; 0 for any free port. */
    public EngineStandin(int port, EngineSettings settings) {
        this.settings = settings;
        this.cache = new PrefixCache(settings.cacheBlocks());
        this.server = new StandinServer(port, this::handle);
    }

    /** Returns the base URL for clients. */
    public String url() {
        return server.url();
    }

    /** Replaces the injected faults. */
    public void setFaults(EngineFaults newFaults) {
        faults = newFaults;
    }

    /** Returns the records of all requests that were run. */
    public List<RunRecord> records() {
        return List.copyOf(records);
    }

    private void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/v1/chat/completions", "/v1/completions" -> start(exchange);
            case "/v1/cancel" -> {
                cancel(exchange.header("X-Request-Id"));
                exchange.answerJson("{}");
            }
            case "/control/record" -> exchange.answerJson(RowText.write(records));
            case "/control/prompts" ->
                exchange.answerJson("{\"read\":%d,\"cached\":%d}".formatted(promptTokens, cachedTokens));
            case "/control/faults" -> {
                faults = RowText.read(exchange.body(), EngineFaults.class);
                exchange.answerJson("{}");
            }
            default -> exchange.answer(NOT_FOUND, "text/plain", "not found");
        }
    }

    private void start(Exchange exchange) {
        if (faults.failing()) {
            exchange.answer(SERVER_ERROR, "text/plain", "this engine fails");
            return;
        }
        EngineRequest request = EngineRequest.read(exchange);
        int cached = cache.readAndStore(request.prompt())
                * request.promptTokens()
                / Math.max(1, request.prompt().length());
        promptTokens += request.promptTokens();
        cachedTokens += cached;
        waiting.add(new Sequence(exchange, request, Math.max(1, request.promptTokens() - cached)));
        waiting.sort(Comparator.comparingInt(sequence -> sequence.request().priority()));
        if (!stepScheduled) {
            stepScheduled = true;
            scheduleStep();
        }
    }

    private void cancel(String attempt) {
        batch.stream().filter(sequence -> belongsTo(sequence, attempt)).forEach(Sequence::cancel);
        waiting.stream().filter(sequence -> belongsTo(sequence, attempt)).forEach(Sequence::cancel);
    }

    private static boolean belongsTo(Sequence sequence, String attempt) {
        return sequence.request().attempt().equals(attempt);
    }

    private void scheduleStep() {
        long millis = (long) settings.stepMillis() * Math.max(1, faults.slowFactor());
        server.timers().schedule(this::step, millis, TimeUnit.MILLISECONDS);
    }

    private void step() {
        while (batch.size() < settings.maxBatch() && !waiting.isEmpty()) {
            batch.add(waiting.remove(0));
        }
        int prefill = settings.prefillTokens();
        EngineFaults currentFaults = faults;
        Iterator<Sequence> sequences = batch.iterator();
        while (sequences.hasNext()) {
            Sequence sequence = sequences.next();
            prefill = sequence.prefill(prefill);
            if (!sequence.prefilling() && !sequence.cancelled()) {
                sequence.generateToken();
            }
            if (finishIfDone(sequence, currentFaults)) {
                sequences.remove();
            }
        }
        stepScheduled = !batch.isEmpty() || !waiting.isEmpty();
        if (stepScheduled) {
            scheduleStep();
        }
    }

    private boolean finishIfDone(Sequence sequence, EngineFaults currentFaults) {
        boolean breaksOff =
                currentFaults.dieAfterTokens() > 0 && sequence.generated() >= currentFaults.dieAfterTokens();
        boolean broken = sequence.callerDisconnected() || breaksOff;
        boolean complete = sequence.cancelled() || sequence.finished(currentFaults.ignoreLimit());
        if (!broken && !complete) {
            return false;
        }
        EngineRequest request = sequence.request();
        records.add(new RunRecord(
                request.attempt(),
                request.request(),
                request.promptTokens(),
                sequence.generated(),
                complete && !sequence.cancelled() && !breaksOff));
        if (broken) {
            sequence.breakOff();
        } else {
            sequence.complete();
        }
        return true;
    }

    @Override
    public void close() {
        server.close();
    }
}
