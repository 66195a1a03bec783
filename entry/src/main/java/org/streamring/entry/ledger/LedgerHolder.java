package org.streamring.entry.ledger;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.net.process.IncarnationIds;

/**
 * Holds the lease ledger of the entry's current incarnation. A fenced ledger is replaced by the ledger of a new
 * incarnation.
 */
public final class LedgerHolder {
    private static final Logger LOGGER = LoggerFactory.getLogger(LedgerHolder.class);

    private final String boxName;
    private volatile String address;
    private final LedgerSettings settings;
    private final AtomicReference<LeaseLedger> current;
    private volatile Consumer<LeaseLedger> newLedgerAction = ledger -> {};

    /** Creates the ledger of the first incarnation. */
    public LedgerHolder(String boxName, String address, LedgerSettings settings) {
        this.boxName = boxName;
        this.address = address;
        this.settings = settings;
        this.current = new AtomicReference<>(newLedger());
    }

    private LeaseLedger newLedger() {
        return new LeaseLedger(IncarnationIds.next(boxName), address, settings);
    }

    /**
     * Sets an action that is applied to the ledger of each later incarnation before it is used, such as announcing the
     * connected sidecars.
     */
    public void onNewLedger(Consumer<LeaseLedger> action) {
        newLedgerAction = action;
    }

    /** Sets the address at which callers reach the entry, after its port has been assigned. */
    public void setAddress(String newAddress) {
        address = newAddress;
        current().reportAddress(newAddress);
    }

    /** Returns the ledger in use. */
    public LeaseLedger current() {
        return current.get();
    }

    /**
     * Replaces a fenced ledger by the ledger of a new incarnation, unless it was already replaced. Returns the ledger
     * in use.
     */
    public LeaseLedger replace(LeaseLedger fenced) {
        LeaseLedger next = newLedger();
        newLedgerAction.accept(next);
        if (current.compareAndSet(fenced, next)) {
            LOGGER.warn("ledger_fenced old={} new={}", fenced.incarnation(), next.incarnation());
        }
        return current.get();
    }
}
