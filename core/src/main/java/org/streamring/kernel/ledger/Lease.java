package org.streamring.kernel.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** State of one lease in the entry that holds it. Not thread-safe; guarded by {@link LeaseLedger}. */
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

    /** Returns the tokens of running attempts and of attempts of unknown outcome, plus the tokens spent. */
    long committed() {
        return reserved + spent;
    }

    /** Returns whether no attempt is running; attempts of unknown outcome do not count as running. */
    boolean noAttemptsRunning() {
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

    /** Sets whether the lease is part of a transaction of unknown outcome; it then accepts no reservations. */
    void freeze(boolean freeze) {
        frozen = freeze;
    }

    void reserve(String attempt, long tokens, long nowMillis) {
        reservations.put(attempt, tokens);
        reserved += tokens;
        lastUsedMillis = nowMillis;
    }

    /**
     * Records the tokens that an attempt spent and releases the remainder of its reservation. Repeated calls for an
     * attempt have no effect.
     *
     * @return whether the attempt had a reservation
     */
    boolean finish(String attempt, BillItem item) {
        if (!release(attempt)) {
            return false;
        }
        spent += item.tokens();
        items.add(item);
        return true;
    }

    /**
     * Releases the reservation of an attempt that did not run.
     *
     * @return whether the attempt had a reservation
     */
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

    /** Returns the attempts of unknown outcome, each with the sidecar that has its receipt. */
    Map<String, String> uncertain() {
        return Map.copyOf(uncertain);
    }

    long reservedFor(String attempt) {
        return reservations.getOrDefault(attempt, 0L);
    }

    List<BillItem> items() {
        return List.copyOf(items);
    }

    /**
     * Returns whether the lease may be made smaller. It is made smaller at most once, as the remainder is returned when
     * it is settled.
     */
    boolean canShrink() {
        return draining && !shrunk && free() > 0;
    }

    void resize(long newGranted, long newVersion) {
        shrunk = true;
        granted = newGranted;
        rowVersion = newVersion;
    }
}
