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
 * Writes log events to an output as JSON lines, without ever blocking the caller.
 *
 * <p>A writer thread takes the lines from a bounded queue. Lines that arrive while the queue is full are dropped; their
 * number is logged in a separate line.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long WRITE_INTERVAL_MILLIS = 100;

    private final ArrayBlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
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
     * @param process name of the process, included in each line
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
     * @param event name of the event
     * @param fields alternating names and values; a value is a string, a number or a boolean
     */
    public void line(String event, Object... fields) {
        if (!queue.offer(new Line(System.currentTimeMillis(), event, List.of(fields)))) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of dropped lines that were not logged yet. */
    public long dropped() {
        return dropped.get();
    }

    /** Writes the queued lines and stops the writer thread. */
    @Override
    public void close() throws InterruptedException {
        closing = true;
        writer.interrupt();
        writer.join(1_000);
    }

    private void run() {
        List<Line> batch = new ArrayList<>();
        while (true) {
            boolean lastBatch = closing;
            queue.drainTo(batch);
            writeAll(batch);
            batch.clear();
            if (lastBatch) {
                return;
            }
            try {
                Thread.sleep(WRITE_INTERVAL_MILLIS);
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
            long droppedLines = dropped.getAndSet(0);
            if (droppedLines > 0) {
                write(new Line(System.currentTimeMillis(), "lines_dropped", List.of("count", droppedLines)));
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
                        jsonValue(line.fields().get(i + 1)));
            }
            generator.writeEndObject();
        }
        output.write('\n');
    }

    private static Object jsonValue(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : String.valueOf(value);
    }
}
