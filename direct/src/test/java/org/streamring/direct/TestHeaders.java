package org.streamring.direct;

import java.util.Set;
import org.streamring.platform.node.ForwardingHeaders;

/** Header names for tests, used by no platform. */
public final class TestHeaders {
    /** A distinct name for each header. */
    public static final ForwardingHeaders NAMES = new ForwardingHeaders(
            "id",
            "deadline",
            "signature",
            "account",
            "instance",
            "not-run",
            "leaving",
            "limit",
            "tokens",
            "parts",
            "hint",
            "urgency",
            "last-event",
            "resumes",
            Set.of());

    private TestHeaders() {}
}
