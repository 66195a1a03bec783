package org.streamring.sidecar.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.streamring.kernel.receipt.Usage;

/**
 * Reads a streamed answer line by line. Records the reported usage, and removes it from the events if the caller did
 * not request it. Lines above a maximum length are an error, which bounds the memory used.
 */
final class EventStreamReader {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final boolean showUsage;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Optional<Usage> usage = Optional.empty();
    private boolean done;
    private boolean skipNextBlankLine;

    EventStreamReader(boolean showUsage) {
        this.showUsage = showUsage;
    }

    /** Returns the last reported usage. */
    Optional<Usage> usage() {
        return usage;
    }

    /** Returns whether the final event of the stream was received. */
    boolean done() {
        return done;
    }

    /**
     * Reads bytes of the stream and returns the complete lines to forward to the caller.
     *
     * @throws LineTooLongException if a line is longer than the maximum
     */
    byte[] read(byte[] bytes) throws LineTooLongException {
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream(bytes.length);
        for (byte value : bytes) {
            line.write(value);
            if (value == '\n') {
                forwarded.writeBytes(readLine(line.toString(StandardCharsets.UTF_8)));
                line.reset();
            } else if (line.size() > MAX_LINE_BYTES) {
                throw new LineTooLongException();
            }
        }
        return forwarded.toByteArray();
    }

    private byte[] readLine(String text) {
        String result = filter(text);
        return result.getBytes(StandardCharsets.UTF_8);
    }

    private String filter(String text) {
        if (text.isBlank()) {
            boolean skip = skipNextBlankLine;
            skipNextBlankLine = false;
            return skip ? "" : text;
        }
        if (!text.startsWith(DATA)) {
            return text;
        }
        String data = text.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            done = true;
            return text;
        }
        Optional<UsageReader.Event> event = UsageReader.event(data);
        if (event.isEmpty() || event.get().usage().isEmpty()) {
            return text;
        }
        usage = event.get().usage();
        if (showUsage) {
            return text;
        }
        if (event.get().onlyUsage()) {
            skipNextBlankLine = true;
            return "";
        }
        return DATA + " " + event.get().withoutUsage() + "\n";
    }

    /** Thrown if a line of a stream is longer than the maximum. */
    static final class LineTooLongException extends Exception {
        private static final long serialVersionUID = 1L;

        LineTooLongException() {
            super("a line of the stream is longer than " + MAX_LINE_BYTES + " bytes");
        }
    }
}
