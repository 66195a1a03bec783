package org.streamring.entry.ledger;

import java.util.ArrayList;
import java.util.List;

/** Requests that wait for a lease. */
public final class LeaseWaiters {
    private final List<Waiter> waiting = new ArrayList<>();

    /** A waiting request. */
    public interface Waiter {
        /**
         * Tries again; called when leases may have arrived or when none will arrive soon.
         *
         * @param storeAway whether the table does not answer
         * @return whether the request need not wait any longer
         */
        boolean tryAgain(boolean storeAway);
    }

    /** Adds a request. */
    public synchronized void add(Waiter waiter) {
        waiting.add(waiter);
    }

    /** Requests that wait. */
    public synchronized int size() {
        return waiting.size();
    }

    /** Lets every waiting request try again. */
    public void wake(boolean storeAway) {
        List<Waiter> woken;
        synchronized (this) {
            woken = new ArrayList<>(waiting);
            waiting.clear();
        }
        List<Waiter> still =
                woken.stream().filter(waiter -> !waiter.tryAgain(storeAway)).toList();
        synchronized (this) {
            waiting.addAll(still);
        }
    }
}
