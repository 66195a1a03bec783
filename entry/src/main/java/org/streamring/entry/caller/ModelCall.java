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

/** Parsed call of a model in the OpenAI-compatible form. Fields that the entry does not use are forwarded unchanged. */
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

    /**
     * Parses a body.
     *
     * @throws RefusedException if the body is not a valid call
     */
    public static ModelCall parse(byte[] bytes) throws RefusedException {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (!(node instanceof ObjectNode object) || !object.path("model").isTextual()) {
                throw badRequest("the body must be a JSON object with a text field \"model\"");
            }
            if (!hasPrompt(object)) {
                throw badRequest("the body must have a list \"messages\" that is not empty, or a \"prompt\"");
            }
            return new ModelCall(object, bytes.length);
        } catch (JsonProcessingException e) {
            throw badRequest("the body is not JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw badRequest("the body could not be read");
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

    private static RefusedException badRequest(String message) {
        return new RefusedException(Refusal.of(RefusalReason.BAD_REQUEST, message));
    }

    /** Returns the name of the requested model. */
    public String model() {
        return body.path("model").asText();
    }

    /** Returns the prompt as a single text. Prompts with a common beginning yield texts with a common beginning. */
    public String promptText() {
        return body.has("messages")
                ? body.path("messages").toString()
                : body.path("prompt").toString();
    }

    /** Returns whether the caller requested a streamed answer. */
    public boolean stream() {
        return body.path("stream").asBoolean(false);
    }

    /** Returns whether the caller requested usage in a streamed answer. */
    public boolean showUsage() {
        return body.path(STREAM_OPTIONS).path("include_usage").asBoolean(false);
    }

    /**
     * Returns an upper bound on the prompt tokens. Each token represents at least one byte of text, so a text prompt
     * has at most as many tokens as the body has bytes. Other content may amount to as many tokens as the engine
     * accepts.
     */
    public long promptBound(ServiceDeclaration service) {
        return isTextOnly() ? Math.min(bodyBytes, service.contextTokens()) : service.contextTokens();
    }

    private boolean isTextOnly() {
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

    /**
     * Returns the most tokens that the answer may have, summed over all choices.
     *
     * @throws RefusedException if a limit in the call is not valid
     */
    public long answerBound(ServiceDeclaration service) throws RefusedException {
        long choices = Math.max(
                positiveInteger("n").orElse(1L), positiveInteger("best_of").orElse(1L));
        if (choices > MAX_CHOICES) {
            throw badRequest("\"n\" and \"best_of\" may be at most " + MAX_CHOICES);
        }
        return choices * maxTokensPerChoice(service);
    }

    private long maxTokensPerChoice(ServiceDeclaration service) throws RefusedException {
        Optional<Long> completionLimit = positiveInteger("max_completion_tokens");
        Optional<Long> legacyLimit = positiveInteger("max_tokens");
        return completionLimit.or(() -> legacyLimit).orElse((long) service.answerTokens());
    }

    private Optional<Long> positiveInteger(String field) throws RefusedException {
        JsonNode node = body.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return Optional.empty();
        }
        if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < 1) {
            throw badRequest("\"" + field + "\" must be a whole number of at least 1");
        }
        return Optional.of(node.asLong());
    }

    /**
     * Returns the body that is forwarded to the engine, with an explicit token limit, the priority rank, and, for a
     * streamed answer, usage in every event.
     */
    public ByteString forwardedBody(ServiceDeclaration service, int rank) throws RefusedException {
        ObjectNode forwarded = body.deepCopy();
        forwarded.put("max_tokens", maxTokensPerChoice(service));
        forwarded.put("priority", rank);
        if (stream()) {
            ObjectNode options = forwarded.withObject("/" + STREAM_OPTIONS);
            options.put("include_usage", true);
            options.put("continuous_usage_stats", true);
        }
        return ByteString.copyFromUtf8(forwarded.toString());
    }
}
