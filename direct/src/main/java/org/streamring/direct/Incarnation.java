package org.streamring.direct;

import java.security.SecureRandom;

/** Creates identifiers of process incarnations. */
final class Incarnation {
    private static final int RADIX = 36;

    private Incarnation() {}

    /** Creates a unique identifier that consists of the node name and a random number. */
    static String create(String nodeName) {
        long random = new SecureRandom().nextLong() & Long.MAX_VALUE;
        return nodeName + "." + Long.toString(random, RADIX);
    }
}
