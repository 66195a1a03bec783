package org.streamring.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.streamring.model.declaration.ServiceDeclaration;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/**
 * A call in the OpenAI-compatible form, read and bounded. Fields that the entry does not know are passed on.
 */
public final class ModelCall {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String STREAM_OPTIONS = "stream_options";
    private static final int MAX_CHOICES = 16;

    private final ObjectNode body;
    private final int bodyBytes;

    private ModelCall(ObjectNode body, int bodyBytes) {
        this.body = body;
        this.bodyBytes = bodyBytes;
    }

    /** Reads a body. */
    public static ModelCall parse(byte[] bytes) throws RefusedException {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (!(node instanceof ObjectNode object) || !object.path("model").isTextual()) {
                throw bad("the body must be a JSON object with a text field \"model\"");
            }
            if (!hasPrompt(object)) {
                throw bad("the body must have a list \"messages\" that is not empty, or a \"prompt\"");
            }
            return new ModelCall(object, bytes.length);
        } catch (JsonProcessingException e) {
            throw bad("the body is not JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw bad("the body can't be read");
        }
    }

    private static boolean hasPrompt(ObjectNode object) {
        JsonNode messages = object.path("messages");
        if (!messages.isMissingNode()) {
            return messages.isArray() && !messages.isEmpty();
        }
        JsonNode prompt = object.path("prompt");
        return prompt.isTextual() || (prompt.isArray() && !prompt.isEmpty());
    }

    private static RefusedException bad(String message) {
        return new RefusedException(Refusal.of(RefusalReason.BAD_REQUEST, message));
    }

    /** Model asked for. */
    public String model() {
        return body.path("model").asText();
    }

    /** The prompt as one text; prompts that begin alike give texts that begin alike. */
    public String promptText() {
        return body.has("messages")
                ? body.path("messages").toString()
                : body.path("prompt").toString();
    }

    /** Whether a streamed answer is asked for. */
    public boolean stream() {
        return body.path("stream").asBoolean(false);
    }

    /** Whether usage is asked for in a streamed answer. */
    public boolean showUsage() {
        return body.path(STREAM_OPTIONS).path("include_usage").asBoolean(false);
    }

    /**
     * Upper bound on prompt tokens. A token stands for at least one byte of text, so the body's length bounds a
     * prompt of
     * text; other content may stand for anything up to what the engine accepts.
     */
    public long promptBound(ServiceDeclaration service) {
        return onlyText() ? Math.min(bodyBytes, service.contextTokens()) : service.contextTokens();
    }

    private boolean onlyText() {
        for (JsonNode message : body.path("messages")) {
            JsonNode content = message.path("content");
            if (content.isArray()) {
                for (JsonNode part : content) {
                    if (!part.path("type").asText().equals("text")) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    /** Most tokens that the answer may have, over all choices. */
    public long answerBound(ServiceDeclaration service) throws RefusedException {
        long choices = Math.max(number("n").orElse(1L), number("best_of").orElse(1L));
        if (choices > MAX_CHOICES) {
            throw bad("\"n\" and \"best_of\" may be at most " + MAX_CHOICES);
        }
        return choices * perChoice(service);
    }

    private long perChoice(ServiceDeclaration service) throws RefusedException {
        Optional<Long> newer = number("max_completion_tokens");
        Optional<Long> older = number("max_tokens");
        return newer.or(() -> older).orElse((long) service.answerTokens());
    }

    private Optional<Long> number(String field) throws RefusedException {
        JsonNode node = body.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return Optional.empty();
        }
        if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < 1) {
            throw bad("\"" + field + "\" must be a whole number of at least 1");
        }
        return Optional.of(node.asLong());
    }

    /** The body as it goes to the engine: with its limit written out, its rank, and usage in every event. */
    public ByteString forwardedBody(ServiceDeclaration service, int rank) throws RefusedException {
        ObjectNode forwarded = body.deepCopy();
        forwarded.put("max_tokens", perChoice(service));
        forwarded.put("priority", rank);
        if (stream()) {
            ObjectNode options = forwarded.withObject("/" + STREAM_OPTIONS);
            options.put("include_usage", true);
            options.put("continuous_usage_stats", true);
        }
        return ByteString.copyFromUtf8(forwarded.toString());
    }
}
