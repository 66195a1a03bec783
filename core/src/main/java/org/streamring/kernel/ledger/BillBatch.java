package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Bill items written together as one object.
 *
 * @param items the items
 */
public record BillBatch(List<BillItem> items) {
    /** Prefix of the names of all batches. */
    public static final String PREFIX = "bills/";

    /** Copies the list; an absent one is empty. */
    public BillBatch(@Nullable List<BillItem> items) {
        this.items = items == null ? List.of() : List.copyOf(items);
    }

    /** Name of the batch that goes with a transaction of an entry; writing it again is harmless. */
    public static String name(String entryIncarnation, long sequence) {
        return PREFIX + entryIncarnation + "/" + sequence;
    }

    /** Name of the batch that a closer writes for a lease of another entry. */
    public static String closingName(String entryIncarnation, String closer, String leaseId) {
        return PREFIX + entryIncarnation + "/close-" + closer + "-" + leaseId.substring(leaseId.indexOf('/') + 1);
    }
}
