package org.streamring.direct;

import java.util.Set;
import org.streamring.platform.node.ForwardingHeaders;

/** Names of headers for tests; no platform uses them. */
public final class TestHeaders {
    /** One name for each. */
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
            Set.of());

    private TestHeaders() {}
}
