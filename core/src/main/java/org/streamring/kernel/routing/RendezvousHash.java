package org.streamring.kernel.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/** Highest random weight hashing: processes with the same view order nodes alike, without talking to each other. */
public final class RendezvousHash {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 29;

    private RendezvousHash() {}

    /** A node's weight for a key, which takes longer to compute than to compare. */
    private record Weighed(String node, long weight) {}

    /** Orders nodes for a key, the first being its owner. */
    public static List<String> order(String key, Collection<String> nodes) {
        return nodes.stream()
                .map(node -> new Weighed(node, weight(key, node)))
                .sorted(Comparator.comparingLong(Weighed::weight).reversed().thenComparing(Weighed::node))
                .map(Weighed::node)
                .toList();
    }

    private static long weight(String key, String node) {
        CRC32C crc = new CRC32C();
        crc.update(key.getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(node.getBytes(StandardCharsets.UTF_8));
        long mixed = crc.getValue() * MULTIPLIER;
        return (mixed ^ (mixed >>> SHIFT)) * MULTIPLIER;
    }
}
