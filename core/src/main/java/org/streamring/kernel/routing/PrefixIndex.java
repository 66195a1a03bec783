package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the replicas that prompts with the same prefix were last sent to, because these are most likely to have the
 * prefix cached. The index is only a hint: replicas evict old cache entries without notice. Compare routing by overlap
 * of cached blocks, "Multimodal KV Routing", NVIDIA Dynamo documentation.
 *
 * <p>Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class PrefixIndex {
    private static final int MAX_PREFIX_HASHES = 16_384;
    private static final int MAX_REPLICAS_PER_PREFIX = 3;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPrefix.PrefixHash, List<String>> replicasByPrefix =
            new LinkedHashMap<>(MAX_PREFIX_HASHES, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<PromptPrefix.PrefixHash, List<String>> eldest) {
                    return size() > MAX_PREFIX_HASHES;
                }
            };

    /** Records that a prompt is sent to a replica. */
    public synchronized void recordPlacement(PromptPrefix prefix, String server) {
        for (PromptPrefix.PrefixHash prefixHash : prefix.prefixHashes()) {
            List<String> newestFirst = new ArrayList<>(replicasByPrefix.getOrDefault(prefixHash, List.of()));
            newestFirst.remove(server);
            newestFirst.add(0, server);
            replicasByPrefix.put(
                    prefixHash,
                    List.copyOf(newestFirst.subList(0, Math.min(MAX_REPLICAS_PER_PREFIX, newestFirst.size()))));
        }
    }

    /**
     * Returns, for each replica that received a prompt with the same prefix, the share of the prompt that it may have
     * cached.
     */
    public synchronized Map<String, Double> cachedShares(PromptPrefix prefix) {
        Map<String, Double> shares = new HashMap<>();
        for (PromptPrefix.PrefixHash prefixHash : prefix.prefixHashes()) {
            double share = prefixHash.bytes() / (double) prefix.bytes();
            replicasByPrefix
                    .getOrDefault(prefixHash, List.of())
                    .forEach(server -> shares.merge(server, share, Math::max));
        }
        return shares;
    }
}
