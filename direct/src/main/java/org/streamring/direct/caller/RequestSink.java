package org.streamring.direct.caller;

/** Receives the requests of callers. */
public interface RequestSink {
    /** Starts to serve a request, whose answer is sent through the writer. */
    ActiveRequest serve(CallerRequest request, AnswerWriter writer);

    /**
     * Called when a request was refused before it could be served, because it can't be read or has not arrived whole.
     *
     * @param requestId identifier that the caller gave; empty if there is none
     * @param reason short name of the cause
     */
    void refused(String requestId, int status, String reason, String detail);

    /**
     * Attempts of a request so far.
     *
     * @param attempts number of attempts that may have reached a replica
     * @param replica identifier of the replica that was chosen last; empty if none was chosen
     */
    record Progress(int attempts, String replica) {
        /** Progress of a request for which no replica was chosen. */
        public static final Progress NONE = new Progress(0, "");
    }

    /** A request that is being served. */
    interface ActiveRequest {
        /** Returns the attempts so far. */
        Progress progress();

        /** Called when the caller has disconnected. */
        void callerGone();

        /** Called when the process exits; a request whose answer has not begun is answered. */
        default void processExits() {}

        /** Called when the connection to the caller becomes writable or stops being writable. */
        void writabilityChanged(boolean writable);
    }
}
