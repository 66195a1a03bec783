package org.streamring.kernel.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * How a prompt begins, as hashes of its beginnings at fixed lengths. Two prompts that share a hash begin alike up to
 * that length; the rare collision only sends a request to a replica that has nothing cached for it.
 *
 * @param marks beginnings, shortest first
 * @param bytes length of the whole prompt
 */
public record PromptPrefix(List<Mark> marks, int bytes) {
    /** No prompt, or one too short to matter. */
    public static final PromptPrefix NONE = new PromptPrefix(List.of(), 0);

    private static final int BLOCK_BYTES = 512;
    private static final List<Integer> LENGTHS_IN_BLOCKS = List.of(1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64);

    /**
     * One beginning.
     *
     * @param bytes its length
     * @param hash its hash
     */
    public record Mark(int bytes, long hash) {}

    /** Marks the beginnings of a prompt. */
    public static PromptPrefix of(String prompt) {
        byte[] text = prompt.getBytes(UTF_8);
        List<Mark> marks = new ArrayList<>();
        CRC32C crc = new CRC32C();
        int hashed = 0;
        for (int blocks : LENGTHS_IN_BLOCKS) {
            int length = blocks * BLOCK_BYTES;
            if (length > text.length) {
                break;
            }
            crc.update(text, hashed, length - hashed);
            hashed = length;
            marks.add(new Mark(length, crc.getValue()));
        }
        return new PromptPrefix(List.copyOf(marks), text.length);
    }
}
