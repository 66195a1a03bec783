package org.streamring.standin.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.Collectors;

/** Reads scenarios in TOML; missing and unknown keys are errors. */
final class ScenarioReader {
    private final TomlMapper toml = TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    Scenario read(Path file) throws ScenarioException {
        try {
            return toml.readValue(file.toFile(), Scenario.class);
        } catch (JsonProcessingException e) {
            throw new ScenarioException(file.toString(), problem(e));
        } catch (IOException e) {
            throw new ScenarioException(file.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** Returns the first part of the parser's message, which names the key or value, followed by the path of keys. */
    private static String problem(JsonProcessingException failure) {
        String what = failure.getOriginalMessage().split("; ", 2)[0].replace("creator property", "key");
        if (failure instanceof JsonMappingException mapping
                && !mapping.getPath().isEmpty()) {
            String path = mapping.getPath().stream()
                    .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : step.getFieldName())
                    .collect(Collectors.joining("."));
            return what + " (at " + path + ")";
        }
        return what;
    }
}
