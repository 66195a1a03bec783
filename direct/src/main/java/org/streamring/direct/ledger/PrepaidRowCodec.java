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
import org.streamring.kernel.store.StorePosition;

/**
 * Encodes rows as text. The row of an account is
 * {@code [closed, limit, limit version, holder, granted, spent, holder, …, era, version]}, which is short because the
 * store charges by the byte. The last two numbers are the position of the basis; older versions neither read nor write
 * them, and they are absent if the store has no eras.
 */
public final class PrepaidRowCodec {
    private static final JsonFactory JSON = new JsonFactory();

    private PrepaidRowCodec() {}

    /** Encodes the row of an account. */
    public static String write(PrepaidRow row) {
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
            if (row.basis().era() != StorePosition.NO_ERA) {
                generator.writeNumber(row.basis().era());
                generator.writeNumber(row.basis().version());
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Decodes the row of an account. Returns empty if the text has another format. */
    public static Optional<PrepaidRow> read(String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                return Optional.empty();
            }
            long closed = readNumber(parser);
            long limit = readNumber(parser);
            long limitVersion = readNumber(parser);
            Map<String, Holding> holdings = new TreeMap<>();
            while (parser.nextToken() == JsonToken.VALUE_STRING) {
                String holder = parser.getText();
                holdings.put(holder, new Holding(readNumber(parser), readNumber(parser)));
            }
            return Optional.of(new PrepaidRow(closed, limit, limitVersion, holdings, readBasis(parser)));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Reads the position of the basis, if the current token is its first number. */
    private static StorePosition readBasis(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            return StorePosition.NONE;
        }
        return new StorePosition(parser.getLongValue(), readNumber(parser));
    }

    /**
     * Encodes usage caps as
     * {@code [incarnation, confirmed, [witness, …], account, start, at once, at patience, …, cover, era]},
     * where "at patience" is the cap at the silence timeout. Older versions read up to the last account or the cover,
     * and do not write what follows; the era is absent if the store has none.
     */
    static String writeUsageCaps(MarkRow usageCaps) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(text)) {
            generator.writeStartArray();
            generator.writeString(usageCaps.incarnation());
            generator.writeNumber(usageCaps.confirmedMillis());
            generator.writeStartArray();
            for (String witness : new TreeSet<>(usageCaps.witnesses())) {
                generator.writeString(witness);
            }
            generator.writeEndArray();
            for (Map.Entry<String, Mark> cap : usageCaps.caps().entrySet()) {
                generator.writeString(cap.getKey());
                generator.writeNumber(cap.getValue().start());
                generator.writeNumber(cap.getValue().atOnce());
                generator.writeNumber(cap.getValue().atSilenceTimeout());
            }
            generator.writeNumber(usageCaps.fullReleaseMillis());
            if (usageCaps.era() != StorePosition.NO_ERA) {
                generator.writeNumber(usageCaps.era());
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Decodes usage caps. Returns empty if the text has another format. */
    static Optional<MarkRow> readUsageCaps(String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_ARRAY || parser.nextToken() != JsonToken.VALUE_STRING) {
                return Optional.empty();
            }
            String incarnation = parser.getText();
            long confirmed = readNumber(parser);
            Set<String> witnesses = readStrings(parser);
            Map<String, Mark> usageCaps = new TreeMap<>();
            while (parser.nextToken() == JsonToken.VALUE_STRING) {
                String account = parser.getText();
                usageCaps.put(account, new Mark(readNumber(parser), readNumber(parser), readNumber(parser)));
            }
            long cover = parser.currentToken() == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : 0;
            boolean namesEra = parser.nextToken() == JsonToken.VALUE_NUMBER_INT;
            long era = namesEra ? parser.getLongValue() : StorePosition.NO_ERA;
            return Optional.of(new MarkRow(incarnation, confirmed, usageCaps, witnesses, cover, era));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Set<String> readStrings(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new IOException("array of witnesses expected");
        }
        Set<String> strings = new TreeSet<>();
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            strings.add(parser.getText());
        }
        return strings;
    }

    private static long readNumber(JsonParser parser) throws IOException {
        parser.nextToken();
        return parser.getLongValue();
    }
}
