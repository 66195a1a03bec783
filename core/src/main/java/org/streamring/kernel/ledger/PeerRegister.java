package org.streamring.kernel.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The sidecars that the entry's row names as possible holders of receipts. A sidecar is usable only once the table is
 * known to name it. Guarded by {@link LeaseLedger}.
 */
final class PeerRegister {
    private final Set<String> wanted = new TreeSet<>();
    private final Map<String, Long> retired = new HashMap<>();
    private Set<String> written = Set.of();
    private Set<String> recorded = Set.of();

    void announce(String peer) {
        wanted.add(peer);
        retired.remove(peer);
    }

    void retire(String peer, long nowMillis) {
        if (wanted.contains(peer)) {
            retired.put(peer, nowMillis);
        }
    }

    boolean isRecorded(String peer) {
        return recorded.contains(peer) && wanted.contains(peer);
    }

    List<String> wanted() {
        return List.copyOf(wanted);
    }

    boolean hasChanges() {
        return !wanted.equals(recorded);
    }

    /** A sidecar that left before the oldest open lease was taken can hold no receipt that matters. */
    void dropRetired(long oldestLeaseMillis) {
        retired.entrySet().removeIf(entry -> {
            boolean drop = entry.getValue() < oldestLeaseMillis;
            if (drop) {
                wanted.remove(entry.getKey());
            }
            return drop;
        });
    }

    /** Remembers what the planned row says. */
    void freeze() {
        written = Set.copyOf(wanted);
    }

    /** The planned row is in the table. */
    void committed() {
        recorded = written;
    }
}
