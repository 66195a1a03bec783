package org.streamring.kernel.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes digests of requests, parts of prompts and client accounts. All entries use the same secret and therefore
 * compute the same digests. Without the secret, a digest reveals nothing about its input. Confined to one thread.
 */
public final class RequestDigester {
    private static final String ALGORITHM = "HmacSHA256";
    private static final String PROMPT_PART = "prompt part";
    private static final String ACCOUNT = "account";
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
    public SuspectId digest(String path, String account, byte[] body) {
        addPart(path.getBytes(StandardCharsets.UTF_8));
        addPart(account.getBytes(StandardCharsets.UTF_8));
        addPart(body);
        return SuspectId.request(digestOfParts());
    }

    /**
     * Computes the digest of a part of a prompt, which is the same for all accounts.
     *
     * @param id identifier of the part, as named by the caller
     */
    public SuspectId digestOfPromptPart(String id) {
        return SuspectId.promptPart(digestOf(PROMPT_PART, id));
    }

    /** Computes the digest of a client account. */
    public SuspectId digestOfAccount(String name) {
        return SuspectId.account(digestOf(ACCOUNT, name));
    }

    private String digestOf(String kind, String text) {
        addPart(kind.getBytes(StandardCharsets.UTF_8));
        addPart(text.getBytes(StandardCharsets.UTF_8));
        return digestOfParts();
    }

    private String digestOfParts() {
        byte[] kept = Arrays.copyOf(mac.doFinal(), KEPT_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(kept);
    }

    /** Adds a part preceded by its length, so that different lists of parts never yield the same bytes. */
    private void addPart(byte[] bytes) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
