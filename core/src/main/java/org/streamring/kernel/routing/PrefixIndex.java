package org.streamring.kernel.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers to which replicas prompts with the same beginning went last, because those have the beginning in their
 * cache most likely. Only a hint: replicas drop what is old without saying so. Cf. routing by overlap of cached blocks,
 * "Multimodal KV Routing", NVIDIA Dynamo documentation.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class PrefixIndex {
    private static final int MAX_MARKS = 16_384;
    private static final int MAX_HOLDERS = 3;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPrefix.Mark, List<String>> holders = new LinkedHashMap<>(MAX_MARKS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPrefix.Mark, List<String>> eldest) {
            return size() > MAX_MARKS;
        }
    };

    /** Notes that a prompt goes to a replica. */
    public synchronized void placed(PromptPrefix prefix, String server) {
        for (PromptPrefix.Mark mark : prefix.marks()) {
            List<String> newestFirst = new ArrayList<>(holders.getOrDefault(mark, List.of()));
            newestFirst.remove(server);
            newestFirst.add(0, server);
            holders.put(mark, List.copyOf(newestFirst.subList(0, Math.min(MAX_HOLDERS, newestFirst.size()))));
        }
    }

    /** For each replica that got a prompt of the same beginning, the share of the prompt that it may have cached. */
    public synchronized Map<String, Double> shares(PromptPrefix prefix) {
        Map<String, Double> shares = new HashMap<>();
        for (PromptPrefix.Mark mark : prefix.marks()) {
            double share = mark.bytes() / (double) prefix.bytes();
            holders.getOrDefault(mark, List.of()).forEach(server -> shares.merge(server, share, Math::max));
        }
        return shares;
    }
}
