package org.streamring.kernel.config;

import org.streamring.kernel.table.RowKeys;

/**
 * One declared item as it is stored.
 *
 * @param kind section of the declarations, such as {@code accounts}
 * @param name name in the section
 * @param json the item as JSON; empty when the item is removed
 */
public record ConfigItem(String kind, String name, String json) {
    /** Whether this takes the item away. */
    public boolean removal() {
        return json.isEmpty();
    }

    /** Key of the item's row. */
    public String rowKey() {
        return RowKeys.item(kind, name);
    }
}
