package org.streamring.kernel.config;

import org.streamring.kernel.table.RowKeys;

/**
 * Declared item in its stored form.
 *
 * @param kind section of the declarations, such as {@code accounts}
 * @param name name of the item in the section
 * @param json item as JSON; empty if the item is removed
 */
public record ConfigItem(String kind, String name, String json) {
    /** Returns whether the item is removed. */
    public boolean removal() {
        return json.isEmpty();
    }

    /** Returns the key of the item's row. */
    public String rowKey() {
        return RowKeys.item(kind, name);
    }
}
