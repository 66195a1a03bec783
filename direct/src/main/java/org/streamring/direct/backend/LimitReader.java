package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.streamring.kernel.permit.LimitWord;

/** Reads from an answer how many requests per second its backend server accepts from all entries together. */
final class LimitReader {
    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?([eE]\\+?\\d{1,2})?");

    private final String header;

    /**
     * Creates a reader.
     *
     * @param header name of the header in which a server announces its limit
     */
    LimitReader(String header) {
        this.header = header;
    }

    /** Reads the limit; if the header is present several times, the smallest valid number applies. */
    LimitWord read(HttpHeaders headers) {
        List<String> values = headers.getAll(header);
        if (values.isEmpty()) {
            return LimitWord.NONE;
        }
        OptionalDouble smallest = values.stream()
                .map(String::trim)
                .filter(value -> NUMBER.matcher(value).matches())
                .mapToDouble(Double::parseDouble)
                .min();
        return smallest.isPresent() ? LimitWord.named(smallest.getAsDouble()) : LimitWord.UNREADABLE;
    }
}
