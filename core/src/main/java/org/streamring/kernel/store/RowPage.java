package org.streamring.kernel.store;

import java.util.List;

/**
 * Rows read at one moment, or changed since one.
 *
 * @param rows the rows
 * @param version the store's newest version at that moment
 * @param storeMillis the store's steady clock at its answer
 * @param historyLost whether changes are missing, so that the rows have to be listed anew
 */
public record RowPage(List<StoredRow> rows, long version, long storeMillis, boolean historyLost) {
    /** Copies the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
