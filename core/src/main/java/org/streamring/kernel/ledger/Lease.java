package org.streamring.kernel.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One lease as its holder keeps it. Not safe for use by several threads; {@link LeaseLedger} guards it. */
final class Lease {
    private final String id;
    private final String budget;
    private final long openedMillis;
    private final Map<String, Long> reservations = new HashMap<>();
    private final Map<String, String> uncertain = new HashMap<>();
    private final List<BillItem> items = new ArrayList<>();
    private long granted;
    private long rowVersion;
    private long reserved;
    private long spent;
    private long lastUsedMillis;
    private boolean draining;
    private boolean frozen;
    private boolean shrunk;

    Lease(String id, String budget, long granted, long rowVersion, long nowMillis) {
        this.id = id;
        this.budget = budget;
        this.granted = granted;
        this.rowVersion = rowVersion;
        this.openedMillis = nowMillis;
        this.lastUsedMillis = nowMillis;
    }

    String id() {
        return id;
    }

    String budget() {
        return budget;
    }

    long openedMillis() {
        return openedMillis;
    }

    long lastUsedMillis() {
        return lastUsedMillis;
    }

    long rowVersion() {
        return rowVersion;
    }

    long granted() {
        return granted;
    }

    long spent() {
        return spent;
    }

    long free() {
        return granted - reserved - spent;
    }

    /** Tokens of attempts that are running or in doubt, and tokens spent. */
    long committed() {
        return reserved + spent;
    }

    /** Whether no attempt is running; attempts in doubt do not count. */
    boolean quiet() {
        return reservations.size() == uncertain.size();
    }

    boolean takesReservations() {
        return !draining && !frozen;
    }

    boolean draining() {
        return draining;
    }

    void drain() {
        draining = true;
    }

    /** A lease in a transaction whose outcome is not known takes no reservations. */
    void freeze(boolean freeze) {
        frozen = freeze;
    }

    void reserve(String attempt, long tokens, long nowMillis) {
        reservations.put(attempt, tokens);
        reserved += tokens;
        lastUsedMillis = nowMillis;
    }

    /** Books what an attempt spent and releases the rest; a second call for an attempt changes nothing. */
    boolean finish(String attempt, BillItem item) {
        if (!release(attempt)) {
            return false;
        }
        spent += item.tokens();
        items.add(item);
        return true;
    }

    /** Releases what was set aside for an attempt that is known not to have run. */
    boolean release(String attempt) {
        Long tokens = reservations.remove(attempt);
        if (tokens == null) {
            return false;
        }
        uncertain.remove(attempt);
        reserved -= tokens;
        return true;
    }

    void markUncertain(String attempt, String sidecarIncarnation) {
        if (reservations.containsKey(attempt)) {
            uncertain.put(attempt, sidecarIncarnation);
        }
    }

    /** Attempts in doubt, with the sidecar that can say what became of each. */
    Map<String, String> uncertain() {
        return Map.copyOf(uncertain);
    }

    long reservedFor(String attempt) {
        return reservations.getOrDefault(attempt, 0L);
    }

    List<BillItem> items() {
        return List.copyOf(items);
    }

    /** Whether it may be made smaller; once is enough, as the rest goes back when it settles. */
    boolean canShrink() {
        return draining && !shrunk && free() > 0;
    }

    void resize(long newGranted, long newVersion) {
        shrunk = true;
        granted = newGranted;
        rowVersion = newVersion;
    }
}
