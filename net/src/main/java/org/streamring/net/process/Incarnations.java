package org.streamring.net.process;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Names runs of processes: the box's name and a random part, never used twice. */
public final class Incarnations {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int RANDOM_BYTES = 6;

    private Incarnations() {}

    /** A new incarnation of the process on this box. */
    public static String next(String boxName) {
        byte[] random = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(random);
        return boxName + "~" + HexFormat.of().formatHex(random);
    }
}
