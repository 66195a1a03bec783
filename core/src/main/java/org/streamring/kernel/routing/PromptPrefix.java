package org.streamring.kernel.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Hashes of the prefixes of a prompt at fixed lengths. Two prompts that share a hash have the same prefix up to that
 * length. The rare hash collision only sends a request to a replica that has nothing cached for it.
 *
 * @param prefixHashes hashes of the prefixes, shortest prefix first
 * @param bytes length of the whole prompt in bytes
 */
public record PromptPrefix(List<PrefixHash> prefixHashes, int bytes) {
    /** Value for a request without a prompt. */
    public static final PromptPrefix NONE = new PromptPrefix(List.of(), 0);

    private static final int BLOCK_BYTES = 512;
    private static final List<Integer> LENGTHS_IN_BLOCKS = List.of(1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64);

    /**
     * Hash of one prefix.
     *
     * @param bytes length of the prefix in bytes
     * @param hash CRC-32C of the prefix
     */
    public record PrefixHash(int bytes, long hash) {}

    /** Computes the prefix hashes of a prompt. */
    public static PromptPrefix of(String prompt) {
        byte[] text = prompt.getBytes(UTF_8);
        List<PrefixHash> prefixHashes = new ArrayList<>();
        CRC32C crc = new CRC32C();
        int hashedBytes = 0;
        for (int blocks : LENGTHS_IN_BLOCKS) {
            int length = blocks * BLOCK_BYTES;
            if (length > text.length) {
                break;
            }
            crc.update(text, hashedBytes, length - hashedBytes);
            hashedBytes = length;
            prefixHashes.add(new PrefixHash(length, crc.getValue()));
        }
        return new PromptPrefix(List.copyOf(prefixHashes), text.length);
    }
}
