package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Batch of bill items that are written together as one object.
 *
 * @param items items of the batch
 */
public record BillBatch(List<BillItem> items) {
    /** Copies the list; a null list becomes an empty one. */
    public BillBatch(@Nullable List<BillItem> items) {
        this.items = items == null ? List.of() : List.copyOf(items);
    }
}
