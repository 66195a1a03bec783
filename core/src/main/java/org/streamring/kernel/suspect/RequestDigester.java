package org.streamring.kernel.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes digests of requests. All entries use the same secret and therefore compute the same digest for a request.
 * Without the secret, a digest reveals nothing about the body. Confined to one thread.
 */
public final class RequestDigester {
    private static final String ALGORITHM = "HmacSHA256";
    /** Length kept of the 32-byte digest; the probability that any two of a million requests collide is below 1e-16. */
    private static final int KEPT_BYTES = 12;

    private final Mac mac;

    /** Creates a digester with the secret that all entries share. */
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
     * @param path path of the request, including the query
     * @param account name of the client account; empty if there is none
     */
    public RequestDigest digest(String path, String account, byte[] body) {
        addPart(path.getBytes(StandardCharsets.UTF_8));
        addPart(account.getBytes(StandardCharsets.UTF_8));
        addPart(body);
        byte[] kept = Arrays.copyOf(mac.doFinal(), KEPT_BYTES);
        return new RequestDigest(Base64.getUrlEncoder().withoutPadding().encodeToString(kept));
    }

    /** Adds a part preceded by its length, so that different lists of parts never yield the same bytes. */
    private void addPart(byte[] bytes) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
