package org.streamring.net.process;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates unique identifiers for runs of a process, from the name of the box and a random part. */
public final class IncarnationIds {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int RANDOM_BYTES = 6;

    private IncarnationIds() {}

    /** Returns a new incarnation identifier for a process on the box. */
    public static String next(String boxName) {
        byte[] random = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(random);
        return boxName + "~" + HexFormat.of().formatHex(random);
    }
}
