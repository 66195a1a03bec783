package org.streamring.direct.caller;

/** Receives the requests of callers. */
public interface RequestSink {
    /** Starts to serve a request, whose answer is sent through the writer. */
    ActiveRequest serve(CallerRequest request, AnswerWriter writer);

    /** A request that is being served. */
    interface ActiveRequest {
        /** Called when the caller has disconnected. */
        void callerGone();

        /** Called when the connection to the caller becomes writable or stops being writable. */
        void writabilityChanged(boolean writable);
    }
}
