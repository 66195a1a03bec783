package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.Refusal;
import org.streamring.net.generated.Wire.Header;

/** Receives the answer to one call. Each call gets exactly one final answer; anything after it is dropped. */
public interface AnswerSink {
    /** Forwards the status and headers of the backend server's answer. */
    void begin(int status, List<Header> headers);

    /** Forwards a part of the answer's body. */
    void chunk(ByteString data);

    /** Completes the answer. */
    void complete();

    /** Refuses the call before it was run. */
    void refuse(Refusal refusal);

    /**
     * Fails the call because the answer is incomplete or it is unknown whether the call ran.
     *
     * @param outcome outcome as far as it is known
     * @param message one sentence for the caller
     */
    void fail(Outcome outcome, String message);
}
