package org.streamring.kernel.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Sidecars that the table names as possible holders of receipts for this incarnation. A sidecar may be used only after
 * the table is known to name it. Guarded by {@link LeaseLedger}.
 */
final class PeerRegister {
    private final Set<String> announced = new TreeSet<>();
    private final Map<String, Long> retired = new HashMap<>();
    private Set<String> planned = Set.of();
    private Set<String> recorded = Set.of();

    void announce(String peer) {
        announced.add(peer);
        retired.remove(peer);
    }

    void retire(String peer, long nowMillis) {
        if (announced.contains(peer)) {
            retired.put(peer, nowMillis);
        }
    }

    boolean isRecorded(String peer) {
        return recorded.contains(peer) && announced.contains(peer);
    }

    List<String> announced() {
        return List.copyOf(announced);
    }

    boolean hasChanges() {
        return !announced.equals(recorded);
    }

    /** Removes sidecars that left before the oldest open lease was taken; none of their receipts is needed any more. */
    void dropRetired(long oldestLeaseMillis) {
        retired.entrySet().removeIf(entry -> {
            boolean drop = entry.getValue() < oldestLeaseMillis;
            if (drop) {
                announced.remove(entry.getKey());
            }
            return drop;
        });
    }

    /** Remembers the sidecars named in the planned row. */
    void rememberPlanned() {
        planned = Set.copyOf(announced);
    }

    /** Notes that the planned row is in the table. */
    void committed() {
        recorded = planned;
    }
}
