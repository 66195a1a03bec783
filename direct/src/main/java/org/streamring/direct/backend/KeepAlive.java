package org.streamring.direct.backend;

import org.jspecify.annotations.Nullable;

/** Reads from the Keep-Alive header how long an idle connection may be kept open. */
final class KeepAlive {
    private static final long DEFAULT_MILLIS = 5_000;
    private static final double USED_FRACTION = 0.7;
    private static final String TIMEOUT = "timeout=";

    private KeepAlive() {}

    static long idleMillis(@Nullable String header) {
        if (header == null) {
            return DEFAULT_MILLIS;
        }
        for (String parameter : header.split(",", -1)) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith(TIMEOUT)) {
                return seconds(trimmed.substring(TIMEOUT.length()));
            }
        }
        return DEFAULT_MILLIS;
    }

    private static long seconds(String text) {
        try {
            return Math.min(DEFAULT_MILLIS * 2, (long) (Long.parseLong(text) * 1_000 * USED_FRACTION));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
