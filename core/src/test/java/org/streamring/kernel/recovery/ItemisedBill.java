package org.streamring.kernel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.streamring.kernel.ledger.BillItem;

/** What was billed, by attempt. Whoever writes an item again must write the same. */
final class ItemisedBill {
    private final Map<String, BillItem> items = new HashMap<>();

    void add(BillItem item) {
        BillItem before = items.put(item.attempt(), item);
        assertThat(before == null ? item.tokens() : before.tokens())
                .as("one bill for %s", item.attempt())
                .isEqualTo(item.tokens());
    }

    Set<String> attempts() {
        return items.keySet();
    }

    long tokens() {
        return items.values().stream().mapToLong(BillItem::tokens).sum();
    }

    /**
     * Compares the bill with what ran.
     *
     * @param ran tokens by attempt
     * @param unbillable attempts whose receipts are lost; only these may be missing
     * @return tokens of the attempts that are missing
     */
    long assertCovers(Map<String, Long> ran, Set<String> unbillable, String run) {
        long missing = 0;
        for (Map.Entry<String, Long> attempt : ran.entrySet()) {
            BillItem item = items.get(attempt.getKey());
            if (item == null) {
                assertThat(unbillable)
                        .as("%s: only lost receipts are not billed", run)
                        .contains(attempt.getKey());
                missing += attempt.getValue();
            } else {
                assertThat(item.tokens()).as("%s: %s", run, attempt.getKey()).isEqualTo(attempt.getValue());
            }
        }
        return missing;
    }
}
