package org.streamring.direct.ledger;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamring.kernel.prepaid.Holding;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidRow;

/**
 * Text form of an account's row: {@code [closed, limit, limit version, holder, granted, spent, holder, …]}, short as
 * the store's bytes are paid for.
 */
final class PrepaidRowCodec {
    private static final JsonFactory JSON = new JsonFactory();

    private PrepaidRowCodec() {}

    static String write(PrepaidRow row) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(text)) {
            generator.writeStartArray();
            generator.writeNumber(row.closed());
            generator.writeNumber(row.limit());
            generator.writeNumber(row.limitVersion());
            for (Map.Entry<String, Holding> holding : row.holdings().entrySet()) {
                generator.writeString(holding.getKey());
                generator.writeNumber(holding.getValue().granted());
                generator.writeNumber(holding.getValue().spent());
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Reads a row; empty if the text is of another form. */
    static Optional<PrepaidRow> read(String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                return Optional.empty();
            }
            long closed = number(parser);
            long limit = number(parser);
            long limitVersion = number(parser);
            Map<String, Holding> holdings = new TreeMap<>();
            while (parser.nextToken() == JsonToken.VALUE_STRING) {
                String holder = parser.getText();
                holdings.put(holder, new Holding(number(parser), number(parser)));
            }
            return Optional.of(new PrepaidRow(closed, limit, limitVersion, holdings));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes marks: {@code [incarnation, confirmed, [witness, …], account, start, at once, at patience, …, cover]}.
     * Older processes read up to the last account, and write no cover.
     */
    static String writeMarks(MarkRow marks) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(text)) {
            generator.writeStartArray();
            generator.writeString(marks.incarnation());
            generator.writeNumber(marks.confirmedMillis());
            generator.writeStartArray();
            for (String witness : new TreeSet<>(marks.witnesses())) {
                generator.writeString(witness);
            }
            generator.writeEndArray();
            for (Map.Entry<String, Mark> mark : marks.marks().entrySet()) {
                generator.writeString(mark.getKey());
                generator.writeNumber(mark.getValue().start());
                generator.writeNumber(mark.getValue().atOnce());
                generator.writeNumber(mark.getValue().atPatience());
            }
            generator.writeNumber(marks.coverMillis());
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Reads marks; empty if the text is of another form. */
    static Optional<MarkRow> readMarks(String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_ARRAY || parser.nextToken() != JsonToken.VALUE_STRING) {
                return Optional.empty();
            }
            String incarnation = parser.getText();
            long confirmed = number(parser);
            Set<String> witnesses = strings(parser);
            Map<String, Mark> marks = new TreeMap<>();
            while (parser.nextToken() == JsonToken.VALUE_STRING) {
                String account = parser.getText();
                marks.put(account, new Mark(number(parser), number(parser), number(parser)));
            }
            long cover = parser.currentToken() == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : 0;
            return Optional.of(new MarkRow(incarnation, confirmed, marks, witnesses, cover));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Set<String> strings(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new IOException("no list of witnesses");
        }
        Set<String> strings = new TreeSet<>();
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            strings.add(parser.getText());
        }
        return strings;
    }

    private static long number(JsonParser parser) throws IOException {
        parser.nextToken();
        return parser.getLongValue();
    }
}
