package org.streamring.entry.ledger;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.net.process.Incarnations;

/** The ledger of the entry's current incarnation; a fenced one is replaced by that of a new incarnation. */
public final class LedgerHolder {
    private static final Logger LOGGER = LoggerFactory.getLogger(LedgerHolder.class);

    private final String boxName;
    private volatile String address;
    private final LedgerSettings settings;
    private final AtomicReference<LeaseLedger> current;
    private volatile Consumer<LeaseLedger> onNew = ledger -> {};

    /** Starts the first incarnation. */
    public LedgerHolder(String boxName, String address, LedgerSettings settings) {
        this.boxName = boxName;
        this.address = address;
        this.settings = settings;
        this.current = new AtomicReference<>(newLedger());
    }

    private LeaseLedger newLedger() {
        return new LeaseLedger(Incarnations.next(boxName), address, settings);
    }

    /** Sets what is told to every further incarnation's ledger before it is used, such as the connected sidecars. */
    public void prepareNew(Consumer<LeaseLedger> preparation) {
        onNew = preparation;
    }

    /** Sets where callers reach the entry, once its port is known. */
    public void reachableAt(String newAddress) {
        address = newAddress;
        current().reportAddress(newAddress);
    }

    /** The ledger in use. */
    public LeaseLedger current() {
        return current.get();
    }

    /** Replaces a fenced ledger. */
    public LeaseLedger replace(LeaseLedger fenced) {
        LeaseLedger next = newLedger();
        onNew.accept(next);
        if (current.compareAndSet(fenced, next)) {
            LOGGER.warn("ledger_fenced old={} new={}", fenced.incarnation(), next.incarnation());
        }
        return current.get();
    }
}
