package org.streamring.kernel.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Highest random weight (rendezvous) hashing. Processes with the same set of nodes order them identically without
 * communicating.
 */
public final class RendezvousHash {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 29;

    private RendezvousHash() {}

    /** Weight of a node for a key, computed once because computing it costs more than comparing it. */
    private record WeightedNode(String node, long weight) {}

    /** Returns the nodes ordered by weight for a key; the first one is the owner of the key. */
    public static List<String> order(String key, Collection<String> nodes) {
        return nodes.stream()
                .map(node -> new WeightedNode(node, weight(key, node)))
                .sorted(Comparator.comparingLong(WeightedNode::weight)
                        .reversed()
                        .thenComparing(WeightedNode::node))
                .map(WeightedNode::node)
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
