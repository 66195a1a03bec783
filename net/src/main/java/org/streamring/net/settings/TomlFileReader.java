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

/** Reads one TOML file into a record; unknown keys are mistakes, each with what is allowed. */
public final class TomlFileReader {
    private TomlFileReader() {}

    /**
     * Reads a file.
     *
     * @param mistakes unknown keys are added here, so that all of them are reported at once
     * @throws SettingsException if the file can't be read, or is no TOML of this form
     */
    public static <T> T read(Path file, Class<T> type, List<String> mistakes) throws SettingsException {
        TomlMapper mapper = TomlMapper.builder()
                .addModule(new Jdk8Module())
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
        mapper.addHandler(new UnknownKeys(file, mistakes));
        try {
            return mapper.readValue(Files.readString(file), type);
        } catch (JsonProcessingException e) {
            throw new SettingsException(file.toString(), List.of(e.getOriginalMessage() + " at " + where(e)));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
    }

    private static String where(JsonProcessingException e) {
        return e.getLocation() == null
                ? "an unknown place"
                : "line %d, column %d"
                        .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
    }

    private static final class UnknownKeys extends DeserializationProblemHandler {
        private final Path file;
        private final List<String> mistakes;

        private UnknownKeys(Path file, List<String> mistakes) {
            this.file = file;
            this.mistakes = mistakes;
        }

        @Override
        public boolean handleUnknownProperty(
                DeserializationContext context,
                JsonParser parser,
                JsonDeserializer<?> deserializer,
                Object beanOrClass,
                String propertyName)
                throws IOException {
            mistakes.add("%s: %s.%s: unknown key; allowed are %s"
                    .formatted(
                            file,
                            context.getParser()
                                    .getParsingContext()
                                    .pathAsPointer()
                                    .toString()
                                    .replace('/', '.')
                                    .substring(1),
                            propertyName,
                            deserializer == null ? "others" : deserializer.getKnownPropertyNames()));
            parser.skipChildren();
            return true;
        }
    }
}
