package org.streamring.direct.caller;

/**
 * A request whose connection ended before its answer was complete.
 *
 * @param requestId identifier given by the caller; empty if it had not arrived
 * @param whole whether the request was read whole
 * @param served whether the request was being served; pipelined requests are served one after the other
 * @param progress attempts at replicas, as far as the request was served
 * @param writes parts of the answer's body that were written, which are events if it is a stream
 * @param bytes bytes of these parts
 * @param reason why the connection ended
 * @param detail cause of that, for example the class of an exception; may be empty
 */
public record IncompleteAnswer(
        String requestId,
        boolean whole,
        boolean served,
        RequestSink.Progress progress,
        int writes,
        long bytes,
        ConnectionEnd reason,
        String detail) {

    /** Receives the incomplete answers of all connections. */
    public interface Listener {
        /** Called once for each request whose connection ended before its answer was complete. */
        void answerIncomplete(IncompleteAnswer incomplete);
    }
}
