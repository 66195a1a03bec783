package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Bill items written together as one object.
 *
 * @param items the items
 */
public record BillBatch(List<BillItem> items) {
    /** Copies the list; an absent one is empty. */
    public BillBatch(@Nullable List<BillItem> items) {
        this.items = items == null ? List.of() : List.copyOf(items);
    }
}
