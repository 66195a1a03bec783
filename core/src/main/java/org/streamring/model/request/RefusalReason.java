package org.streamring.model.request;

/** Reason why a request was refused before it ran, with the processing step that refused it. */
public enum RefusalReason {
    BAD_REQUEST(400, "parse", false),
    UNKNOWN_KEY(401, "authenticate", false),
    BUDGET_USED_UP(402, "reserve", true),
    NOT_ALLOWED(403, "admit", false),
    UNKNOWN_SERVICE(404, "resolve", false),
    KEY_REUSED(409, "once", false),
    CALL_TOO_SLOW(408, "parse", true),
    TOO_LARGE(413, "parse", false),
    UNSUPPORTED_EXPECTATION(417, "parse", false),
    HEADERS_TOO_LARGE(431, "parse", false),
    ACCOUNT_LIMIT(429, "limit", true),
    OVERLOAD(429, "route", true),
    LEASE_UNAVAILABLE(503, "reserve", true),
    NO_BACKEND(503, "route", true),
    STORE_UNAVAILABLE(503, "claim", true),
    LEAVING(503, "route", true),
    FENCED(503, "reserve", true),
    WRONG_INCARNATION(503, "route", true),
    DEADLINE(504, "route", true),
    BACKEND_UNREACHABLE(503, "forward", true),
    ENTRY_STOPPING(503, "accept", true);

    private final int status;
    private final String step;
    private final boolean retryHelps;

    RefusalReason(int status, String step, boolean retryHelps) {
        this.status = status;
        this.step = step;
        this.retryHelps = retryHelps;
    }

    /** Returns the HTTP status of the final answer. */
    public int status() {
        return status;
    }

    /** Returns the name of the processing step that refused the request. */
    public String step() {
        return step;
    }

    /** Returns whether a later retry can succeed. */
    public boolean retryHelps() {
        return retryHelps;
    }
}
