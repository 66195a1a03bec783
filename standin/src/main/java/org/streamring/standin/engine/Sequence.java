package org.streamring.standin.engine;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.streamring.standin.http.Exchange;

/** A request whose answer is being generated. Confined to the event loop of the engine's server. */
final class Sequence {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String WORD = "word ";

    private final Exchange exchange;
    private final EngineRequest request;
    private final StringBuilder text = new StringBuilder();
    private int remainingPrefillTokens;
    private int generated;
    private boolean cancelled;

    Sequence(Exchange exchange, EngineRequest request, int remainingPrefillTokens) {
        this.exchange = exchange;
        this.request = request;
        this.remainingPrefillTokens = remainingPrefillTokens;
        if (request.stream()) {
            exchange.beginEvents();
        }
    }

    EngineRequest request() {
        return request;
    }

    boolean callerDisconnected() {
        return !exchange.isOpen();
    }

    void cancel() {
        cancelled = true;
    }

    boolean cancelled() {
        return cancelled;
    }

    int generated() {
        return generated;
    }

    /** Reads prompt tokens up to the allowance; returns the unused part of the allowance. */
    int prefill(int allowance) {
        int read = Math.min(remainingPrefillTokens, allowance);
        remainingPrefillTokens -= read;
        return allowance - read;
    }

    boolean prefilling() {
        return remainingPrefillTokens > 0;
    }

    void generateToken() {
        generated++;
        text.append(WORD);
        if (request.stream()) {
            ObjectNode event = newResponse("chat.completion.chunk");
            ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta").put("content", WORD);
            choice.putNull("finish_reason");
            putUsage(event);
            exchange.event(event.toString());
        }
    }

    boolean finished(boolean ignoreLimit) {
        return !ignoreLimit && generated >= request.answerTokens();
    }

    void complete() {
        String reason = cancelled ? "cancelled" : generated >= request.maxTokens() ? "length" : "stop";
        if (request.stream()) {
            ObjectNode event = newResponse("chat.completion.chunk");
            ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", reason);
            exchange.event(event.toString());
            ObjectNode usageEvent = newResponse("chat.completion.chunk");
            usageEvent.putArray("choices");
            putUsage(usageEvent);
            exchange.event(usageEvent.toString());
            exchange.event("[DONE]");
            exchange.endEvents();
            return;
        }
        ObjectNode answer = newResponse("chat.completion");
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", reason);
        putUsage(answer);
        exchange.answerJson(answer.toString());
    }

    void breakOff() {
        exchange.breakOff();
    }

    private ObjectNode newResponse(String kind) {
        return MAPPER.createObjectNode()
                .put("id", request.attempt())
                .put("object", kind)
                .put("model", request.model());
    }

    private void putUsage(ObjectNode parent) {
        parent.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", generated)
                .put("total_tokens", request.promptTokens() + generated);
    }
}
