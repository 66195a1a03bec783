package org.streamring.direct.caller;

/** Takes callers' requests. */
public interface RequestSink {
    /** Starts to serve a request; the answer goes to the writer. */
    ActiveRequest serve(CallerRequest request, AnswerWriter writer);

    /** A request that is being served. */
    interface ActiveRequest {
        /** The caller has left. */
        void callerGone();

        /** The caller takes, or does not take, more data. */
        void writabilityChanged(boolean writable);
    }
}
