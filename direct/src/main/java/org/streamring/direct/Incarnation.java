package org.streamring.direct;

import java.security.SecureRandom;

/** Makes identifiers of process incarnations. */
final class Incarnation {
    private static final int RADIX = 36;

    private Incarnation() {}

    /** An identifier unlike that of every other incarnation. */
    static String create(String nodeName) {
        long random = new SecureRandom().nextLong() & Long.MAX_VALUE;
        return nodeName + "." + Long.toString(random, RADIX);
    }
}
