package org.streamring.kernel.prepaid;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records of the tokens that other entries may use above their usage caps during a store outage. Once the successor of
 * an incarnation has requested its records, further records of that incarnation are refused, so that the answer stays
 * valid. Records are kept for the lifetime of this process, because an answer without a record means that none was
 * made. Confined to one thread.
 */
public final class WitnessRecords {
    /**
     * Maximum number of incarnations with records; further incarnations are refused. The entry restarts during the
     * lifetime of a process stay far below this number.
     */
    private static final int MAX_INCARNATIONS = 2_000;

    private final Map<String, Map<String, Long>> records = new HashMap<>();
    private final Set<String> closed = new HashSet<>();

    /**
     * Records the tokens that an incarnation may use.
     *
     * @param tokens tokens of its grants by account
     * @return false if its successor has already requested the records or the maximum number of incarnations is
     *     reached; the tokens must not be used then
     */
    public boolean add(String incarnation, Map<String, Long> tokens) {
        boolean full = !records.containsKey(incarnation) && records.size() >= MAX_INCARNATIONS;
        if (closed.contains(incarnation) || full) {
            return false;
        }
        Map<String, Long> recorded = records.computeIfAbsent(incarnation, key -> new HashMap<>());
        tokens.forEach((account, amount) -> recorded.merge(account, amount, Math::max));
        return true;
    }

    /** Returns the records of an incarnation and refuses further records of it. */
    public Map<String, Long> close(String incarnation) {
        closed.add(incarnation);
        return Map.copyOf(records.getOrDefault(incarnation, Map.of()));
    }
}
