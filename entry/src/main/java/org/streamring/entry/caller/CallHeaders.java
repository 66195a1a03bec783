package org.streamring.entry.caller;

/** Names and prefixes of the HTTP headers that the entry reads or sets. */
public final class CallHeaders {
    public static final String AUTHORIZATION = "Authorization";
    public static final String BEARER = "Bearer ";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String DEADLINE_MILLIS = "Streamring-Deadline-Ms";
    public static final String NOT_REPEATABLE = "Streamring-Not-Repeatable";
    public static final String OUTCOME = "Streamring-Outcome";
    public static final String REQUEST_ID = "Streamring-Request-Id";
    public static final String RETRY_AFTER = "Retry-After";

    private CallHeaders() {}
}
