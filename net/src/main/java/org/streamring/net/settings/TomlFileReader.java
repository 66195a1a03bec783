package org.streamring.net.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Maps a TOML file to a record. Unknown keys are reported as errors that list the allowed keys. */
public final class TomlFileReader {
    private TomlFileReader() {}

    /**
     * Reads a file and maps it to a record.
     *
     * @param errors list to which an error is added for each unknown key, so that all can be reported together
     * @throws SettingsException if the file cannot be read, is not TOML, or does not match the record
     */
    public static <T> T read(Path file, Class<T> type, List<String> errors) throws SettingsException {
        TomlMapper mapper = TomlMapper.builder()
                .addModule(new Jdk8Module())
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
        mapper.addHandler(new UnknownKeyHandler(file, errors));
        try {
            return mapper.readValue(Files.readString(file), type);
        } catch (JsonProcessingException e) {
            throw new SettingsException(file.toString(), List.of(e.getOriginalMessage() + " at " + position(e)));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
    }

    private static String position(JsonProcessingException e) {
        return e.getLocation() == null
                ? "an unknown position"
                : "line %d, column %d"
                        .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
    }

    /** Adds an error for each unknown key and skips its value. */
    private static final class UnknownKeyHandler extends DeserializationProblemHandler {
        private final Path file;
        private final List<String> errors;

        private UnknownKeyHandler(Path file, List<String> errors) {
            this.file = file;
            this.errors = errors;
        }

        @Override
        public boolean handleUnknownProperty(
                DeserializationContext context,
                JsonParser parser,
                JsonDeserializer<?> deserializer,
                Object beanOrClass,
                String propertyName)
                throws IOException {
            errors.add("%s: %s.%s: unknown key; allowed are %s"
                    .formatted(
                            file,
                            context.getParser()
                                    .getParsingContext()
                                    .pathAsPointer()
                                    .toString()
                                    .replace('/', '.')
                                    .substring(1),
                            propertyName,
                            deserializer == null ? "unknown" : deserializer.getKnownPropertyNames()));
            parser.skipChildren();
            return true;
        }
    }
}
