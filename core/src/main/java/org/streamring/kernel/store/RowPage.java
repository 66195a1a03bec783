package org.streamring.kernel.store;

import java.util.List;

/**
 * Rows read at one version of the store, or changed since one.
 *
 * @param rows the rows
 * @param position latest position of the store at the time of the read
 * @param storeMillis time of the answer by the store's monotonic clock, in milliseconds
 * @param changesMissing whether changes are missing, so that all rows have to be listed again
 */
public record RowPage(List<StoredRow> rows, StorePosition position, long storeMillis, boolean changesMissing) {
    /** Creates a page with a copy of the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
