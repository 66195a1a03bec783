package org.streamring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.streamring.standin.http.Exchange;

/**
 * A parsed request to the engine.
 *
 * @param attempt identifier of the attempt
 * @param request identifier of the request
 * @param model name of the model
 * @param prompt prompt text
 * @param promptTokens number of tokens of the prompt, one per four characters
 * @param maxTokens token limit of the answer
 * @param answerTokens number of tokens to generate
 * @param stream whether the answer is streamed
 * @param priority rank of the request; requests with a smaller rank start first
 */
record EngineRequest(
        String attempt,
        String request,
        String model,
        String prompt,
        int promptTokens,
        int maxTokens,
        int answerTokens,
        boolean stream,
        int priority) {

    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 64;
    private static final int DEFAULT_ANSWER_TOKENS = 24;

    static EngineRequest read(Exchange exchange) {
        JsonNode body;
        try {
            body = MAPPER.readTree(exchange.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String prompt = body.has("prompt")
                ? body.path("prompt").asText()
                : body.path("messages").toString();
        int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        int requestedTokens = body.path("standin_answer_tokens").asInt(DEFAULT_ANSWER_TOKENS);
        return new EngineRequest(
                exchange.header("X-Request-Id"),
                exchange.header("X-Streamring-Request"),
                body.path("model").asText(),
                prompt,
                Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN),
                maxTokens,
                Math.min(maxTokens, requestedTokens),
                body.path("stream").asBoolean(false),
                body.path("priority").asInt(0));
    }
}
