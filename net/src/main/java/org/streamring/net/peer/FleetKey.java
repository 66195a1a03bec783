package org.streamring.net.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.streamring.net.generated.Wire.Hello;

/**
 * Secret shared by all processes of a fleet. A proof of possession is an HMAC-SHA-256 over the identities and nonces of
 * both sides.
 */
public final class FleetKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /** Creates a key from the secret text in the settings. */
    public FleetKey(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Derives a secret for a single purpose; this key cannot be recovered from it. */
    public byte[] derive(String purpose) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(purpose.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java runtime", e);
        }
    }

    /** Generates a random nonce. */
    static ByteString nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    /**
     * Computes the proof that one side sends to the other.
     *
     * @param side side that sends the proof
     * @param connecting hello of the connecting side
     * @param accepting hello of the accepting side
     */
    ByteString proof(Side side, Hello connecting, Hello accepting) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(side.label);
            update(mac, connecting);
            update(mac, accepting);
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java runtime", e);
        }
    }

    private static void update(Mac mac, Hello hello) {
        Hello withoutProof = hello.toBuilder().clearProof().build();
        byte[] bytes = withoutProof.toByteArray();
        mac.update((byte) bytes.length);
        mac.update((byte) (bytes.length >>> Byte.SIZE));
        mac.update(bytes);
    }

    /** Compares two proofs in constant time. */
    static boolean matches(ByteString expected, ByteString received) {
        return MessageDigest.isEqual(expected.toByteArray(), received.toByteArray());
    }

    /** Side of a connection. Its label is part of the proof, so that a proof cannot be reflected to its sender. */
    enum Side {
        CONNECTING((byte) 1),
        ACCEPTING((byte) 2);

        private final byte label;

        Side(byte label) {
            this.label = label;
        }
    }
}
