package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * Stream that a caller resumes after its connection broke.
 *
 * @param stream identifier of the request that brought the first event of the stream; empty if the caller names none
 *     or several
 * @param lastEventId identifier of the last event that the caller received; empty if the caller names none
 */
record ResumedStream(String stream, String lastEventId) {
    /** Returns the stream that a request resumes; empty if it begins a new one. */
    static Optional<ResumedStream> of(HttpHeaders headers, ForwardingHeaders names) {
        List<String> named = headers.getAll(names.resumes());
        String stream = named.size() == 1 ? named.get(0).trim() : "";
        String lastEventId = headers.get(names.lastEventId(), "").trim();
        return named.isEmpty() && lastEventId.isEmpty()
                ? Optional.empty()
                : Optional.of(new ResumedStream(stream, lastEventId));
    }
}
