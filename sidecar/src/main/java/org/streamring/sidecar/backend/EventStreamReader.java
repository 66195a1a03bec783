package org.streamring.sidecar.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.streamring.kernel.receipt.Usage;

/**
 * Reads a streamed answer line by line: follows its usage, and takes usage out of events if the caller did not ask for
 * it. Bounded: a line that is too long is an error.
 */
final class EventStreamReader {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final boolean showUsage;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Optional<Usage> usage = Optional.empty();
    private boolean done;
    private boolean skipBlank;

    EventStreamReader(boolean showUsage) {
        this.showUsage = showUsage;
    }

    /** Usage as last reported. */
    Optional<Usage> usage() {
        return usage;
    }

    /** Whether the stream said that it is whole. */
    boolean done() {
        return done;
    }

    /** Takes in bytes and returns what goes on to the caller. */
    byte[] read(byte[] bytes) throws LineTooLongException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length);
        for (byte one : bytes) {
            line.write(one);
            if (one == '\n') {
                out.writeBytes(readLine(line.toString(StandardCharsets.UTF_8)));
                line.reset();
            } else if (line.size() > MAX_LINE_BYTES) {
                throw new LineTooLongException();
            }
        }
        return out.toByteArray();
    }

    private byte[] readLine(String text) {
        String result = filter(text);
        return result.getBytes(StandardCharsets.UTF_8);
    }

    private String filter(String text) {
        if (text.isBlank()) {
            boolean skip = skipBlank;
            skipBlank = false;
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
            skipBlank = true;
            return "";
        }
        return DATA + " " + event.get().withoutUsage() + "\n";
    }

    /** A line over the limit. */
    static final class LineTooLongException extends Exception {
        private static final long serialVersionUID = 1L;

        LineTooLongException() {
            super("a line of the stream is longer than " + MAX_LINE_BYTES + " bytes");
        }
    }
}
