package org.streamring.entry.ledger;

import java.util.ArrayList;
import java.util.List;

/** Collection of the requests that wait for a lease. Thread-safe. */
public final class LeaseWaiters {
    private final List<Waiter> waiting = new ArrayList<>();

    /** Request that waits for a lease. */
    public interface Waiter {
        /**
         * Tries again to reserve tokens. Called when leases may have been obtained or when none can be obtained soon.
         *
         * @param storeUnreachable whether the table is unreachable
         * @return whether the request no longer has to wait
         */
        boolean retryReservation(boolean storeUnreachable);
    }

    /** Adds a request. */
    public synchronized void add(Waiter waiter) {
        waiting.add(waiter);
    }

    /** Returns the number of waiting requests. */
    public synchronized int size() {
        return waiting.size();
    }

    /**
     * Retries the reservation of every waiting request.
     *
     * @param storeUnreachable whether the table is unreachable
     */
    public void retryAll(boolean storeUnreachable) {
        List<Waiter> retried;
        synchronized (this) {
            retried = new ArrayList<>(waiting);
            waiting.clear();
        }
        List<Waiter> stillWaiting = retried.stream()
                .filter(waiter -> !waiter.retryReservation(storeUnreachable))
                .toList();
        synchronized (this) {
            waiting.addAll(stillWaiting);
        }
    }
}
