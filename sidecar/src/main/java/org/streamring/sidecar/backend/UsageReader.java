package org.streamring.sidecar.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.streamring.kernel.receipt.Usage;

/** Reads the {@code usage} member of OpenAI-compatible answers. */
final class UsageReader {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String USAGE = "usage";

    private UsageReader() {}

    /** Returns the usage in an answer that was not streamed; empty if it has none or is not JSON. */
    static Optional<Usage> ofAnswer(byte[] json) {
        try {
            return of(MAPPER.readTree(json));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** One event of a streamed answer. */
    record Event(ObjectNode content, Optional<Usage> usage) {
        /** Returns whether the event holds usage and no choices, so that it is dropped if the caller gets no usage. */
        boolean onlyUsage() {
            return usage.isPresent() && content.path("choices").isEmpty();
        }

        /** Returns the event without its usage, as JSON. */
        String withoutUsage() {
            ObjectNode copy = content.deepCopy();
            copy.remove(USAGE);
            return copy.toString();
        }
    }

    /** Parses the data of an event. Returns empty if it is not a JSON object. */
    static Optional<Event> event(String data) {
        try {
            JsonNode node = MAPPER.readTree(data);
            return node instanceof ObjectNode object ? Optional.of(new Event(object, of(object))) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Optional<Usage> of(JsonNode root) {
        JsonNode usage = root.path(USAGE);
        if (!usage.isObject()) {
            return Optional.empty();
        }
        return Optional.of(Usage.ofModel(
                usage.path("prompt_tokens").asLong(),
                usage.path("completion_tokens").asLong()));
    }
}
