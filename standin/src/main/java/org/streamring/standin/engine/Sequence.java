package org.streamring.standin.engine;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.streamring.standin.http.Exchange;

/** One answer being generated. */
final class Sequence {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String WORD = "word ";

    private final Exchange exchange;
    private final EngineRequest request;
    private final StringBuilder text = new StringBuilder();
    private int prefillLeft;
    private int generated;
    private boolean cancelled;

    Sequence(Exchange exchange, EngineRequest request, int prefillLeft) {
        this.exchange = exchange;
        this.request = request;
        this.prefillLeft = prefillLeft;
        if (request.stream()) {
            exchange.beginEvents();
        }
    }

    EngineRequest request() {
        return request;
    }

    boolean callerGone() {
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

    /** Reads part of the prompt; returns how much of the step's allowance is left. */
    int prefill(int allowance) {
        int read = Math.min(prefillLeft, allowance);
        prefillLeft -= read;
        return allowance - read;
    }

    boolean reading() {
        return prefillLeft > 0;
    }

    void generateToken() {
        generated++;
        text.append(WORD);
        if (request.stream()) {
            ObjectNode event = frame("chat.completion.chunk");
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
            ObjectNode event = frame("chat.completion.chunk");
            ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", reason);
            exchange.event(event.toString());
            ObjectNode last = frame("chat.completion.chunk");
            last.putArray("choices");
            putUsage(last);
            exchange.event(last.toString());
            exchange.event("[DONE]");
            exchange.endEvents();
            return;
        }
        ObjectNode answer = frame("chat.completion");
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", reason);
        putUsage(answer);
        exchange.answerJson(answer.toString());
    }

    void breakOff() {
        exchange.breakOff();
    }

    private ObjectNode frame(String kind) {
        return MAPPER.createObjectNode()
                .put("id", request.attempt())
                .put("object", kind)
                .put("model", request.model());
    }

    private void putUsage(ObjectNode into) {
        into.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", generated)
                .put("total_tokens", request.promptTokens() + generated);
    }
}
