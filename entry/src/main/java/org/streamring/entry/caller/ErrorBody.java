package org.streamring.entry.caller;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.RefusalReason;

/** Creates error bodies in the OpenAI-compatible form. */
final class ErrorBody {
    private static final JsonMapper MAPPER = new JsonMapper();

    private ErrorBody() {}

    static String refusal(RefusalReason reason, String message, String requestId) {
        return body(reason.name().toLowerCase(Locale.ROOT), reason.step(), message, Outcome.NOT_RUN, requestId);
    }

    static String failure(Outcome outcome, String message, String requestId) {
        return body("answer_incomplete", "forward", message, outcome, requestId);
    }

    static String outcome(Outcome outcome, String requestId) {
        return MAPPER.createObjectNode()
                .put("outcome", outcome.text())
                .put("request_id", requestId)
                .toString();
    }

    private static String body(String code, String step, String message, Outcome outcome, String requestId) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("error")
                .put("message", message)
                .put("type", "streamring_error")
                .put("code", code)
                .put("step", step)
                .put("outcome", outcome.text())
                .put("request_id", requestId);
        return root.toString();
    }
}
