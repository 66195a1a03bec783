package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.Refusal;
import org.streamring.net.generated.Wire.Header;

/** Where the answer to one call goes. Every call gets exactly one final answer; what comes after it is dropped. */
public interface AnswerSink {
    /** Status and headers of the backend server's answer. */
    void begin(int status, List<Header> headers);

    /** Part of the answer's body. */
    void chunk(ByteString data);

    /** The answer is whole. */
    void complete();

    /** The call was refused before it ran. */
    void refuse(Refusal refusal);

    /**
     * The answer is not whole, or it is not known whether the call ran.
     *
     * @param outcome what is known
     * @param message one sentence for the caller
     */
    void fail(Outcome outcome, String message);
}
