package org.streamring.net.http;

/** Finds status lines (RFC 9112, section 4) in bytes that are given one by one. Confined to one thread. */
final class StatusLineMatcher {
    /** First byte of a status line. */
    static final byte FIRST = 'H';

    private static final String PROTOCOL = "HTTP/";
    private static final int STATUS_DIGITS = 3;

    /** What is expected next. */
    private enum Expected {
        PROTOCOL,
        MAJOR_VERSION,
        MINOR_VERSION,
        STATUS
    }

    private Expected expected = Expected.PROTOCOL;
    /** Number of bytes that match what is expected. */
    private int matched;

    /** Whether the last bytes may be the beginning of a status line. */
    boolean hasBegun() {
        return expected != Expected.PROTOCOL || matched > 0;
    }

    /**
     * Returns whether this byte is the one behind the status code of a status line.
     *
     * @param mayBegin whether a status line may begin with this byte
     */
    boolean matchedBy(byte next, boolean mayBegin) {
        if (expected == Expected.STATUS && matched == STATUS_DIGITS && !isDigit(next)) {
            restart(next, mayBegin);
            return true;
        }
        if (!advance(next)) {
            restart(next, mayBegin);
        }
        return false;
    }

    private void restart(byte next, boolean mayBegin) {
        expected = Expected.PROTOCOL;
        matched = mayBegin && next == FIRST ? 1 : 0;
    }

    private boolean advance(byte next) {
        return switch (expected) {
            case PROTOCOL -> advanceProtocol(next);
            case MAJOR_VERSION -> advanceNumber(next, '.', Expected.MINOR_VERSION);
            case MINOR_VERSION -> advanceNumber(next, ' ', Expected.STATUS);
            case STATUS -> advanceStatus(next);
        };
    }

    private boolean advanceProtocol(byte next) {
        if (next != PROTOCOL.charAt(matched)) {
            return false;
        }
        matched++;
        if (matched == PROTOCOL.length()) {
            expect(Expected.MAJOR_VERSION);
        }
        return true;
    }

    private boolean advanceNumber(byte next, char end, Expected then) {
        if (next == end && matched > 0) {
            expect(then);
            return true;
        }
        matched++;
        return isDigit(next);
    }

    private boolean advanceStatus(byte next) {
        if (next == ' ' && matched == 0) {
            return true;
        }
        matched++;
        return matched <= STATUS_DIGITS && isDigit(next);
    }

    private void expect(Expected then) {
        expected = then;
        matched = 0;
    }

    private static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }
}
