package org.streamring.direct.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes JSON lines to an output, without ever blocking the caller.
 *
 * <p>Lines wait in a bounded queue for a writer thread; those that find it full are dropped and counted, and the
 * count is told in a line of its own.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int CAPACITY = 4_096;
    private static final long PAUSE_MILLIS = 100;

    private final ArrayBlockingQueue<Line> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final JsonFactory json = new JsonFactory();
    private final OutputStream output;
    private final String process;
    private final Thread writer = new Thread(this::run, "decision-log");
    private volatile boolean closing;

    private record Line(long timeMillis, String event, List<Object> fields) {}

    /**
     * Starts the writer thread.
     *
     * @param process name of the process, written into each line
     */
    public DecisionLog(OutputStream output, String process) {
        this.output = new BufferedOutputStream(output);
        this.process = process;
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs an event.
     *
     * @param event what happened
     * @param fields names and values in turn; a value is a string, a number or a boolean
     */
    public void line(String event, Object... fields) {
        if (!queue.offer(new Line(System.currentTimeMillis(), event, List.of(fields)))) {
            dropped.incrementAndGet();
        }
    }

    /** Lines dropped so far and not yet told. */
    public long dropped() {
        return dropped.get();
    }

    /** Writes what waits, and ends. */
    @Override
    public void close() throws InterruptedException {
        closing = true;
        writer.interrupt();
        writer.join(1_000);
    }

    private void run() {
        List<Line> batch = new ArrayList<>();
        while (true) {
            boolean last = closing;
            queue.drainTo(batch);
            writeAll(batch);
            batch.clear();
            if (last) {
                return;
            }
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                closing = true;
            }
        }
    }

    private void writeAll(List<Line> batch) {
        try {
            for (Line line : batch) {
                write(line);
            }
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                write(new Line(System.currentTimeMillis(), "lines_dropped", List.of("count", lost)));
            }
            if (!batch.isEmpty()) {
                output.flush();
            }
        } catch (IOException e) {
            dropped.addAndGet(batch.size());
        }
    }

    private void write(Line line) throws IOException {
        try (JsonGenerator generator = json.createGenerator(output)) {
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            generator.writeStartObject();
            generator.writeNumberField("t", line.timeMillis());
            generator.writeStringField("process", process);
            generator.writeStringField("event", line.event());
            for (int i = 0; i + 1 < line.fields().size(); i += 2) {
                generator.writeObjectField(
                        String.valueOf(line.fields().get(i)),
                        plain(line.fields().get(i + 1)));
            }
            generator.writeEndObject();
        }
        output.write('\n');
    }

    private static Object plain(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : String.valueOf(value);
    }
}
