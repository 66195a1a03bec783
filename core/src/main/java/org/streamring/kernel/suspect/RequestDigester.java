package org.streamring.kernel.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes digests of requests. All entries use the same secret, so that each of them knows a request again; without
 * the secret nobody can tell from a digest what a body said. Confined to one thread.
 */
public final class RequestDigester {
    private static final String ALGORITHM = "HmacSHA256";
    /** Of the 32 bytes of the whole digest; two requests of a million share one with a probability below 1e-16. */
    private static final int KEPT_BYTES = 12;

    private final Mac mac;

    /** Creates one with the secret that all entries share. */
    public RequestDigester(byte[] secret) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java runtime", e);
        }
    }

    /**
     * Computes the digest of a request.
     *
     * @param path its path with the query
     * @param account name of its client account; empty if it has none
     */
    public RequestDigest digest(String path, String account, byte[] body) {
        part(path.getBytes(StandardCharsets.UTF_8));
        part(account.getBytes(StandardCharsets.UTF_8));
        part(body);
        byte[] kept = Arrays.copyOf(mac.doFinal(), KEPT_BYTES);
        return new RequestDigest(Base64.getUrlEncoder().withoutPadding().encodeToString(kept));
    }

    /** Each part follows its length, so that no two lists of parts run into the same bytes. */
    private void part(byte[] bytes) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
