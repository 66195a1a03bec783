package org.streamring.kernel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.streamring.kernel.ledger.BillItem;

/** Billed items by attempt. An item that is written again must have the same number of tokens. */
final class ItemisedBill {
    private final Map<String, BillItem> items = new HashMap<>();

    void add(BillItem item) {
        BillItem previous = items.put(item.attempt(), item);
        assertThat(previous == null ? item.tokens() : previous.tokens())
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
     * Compares the bill with the tokens used by the attempts that ran.
     *
     * @param ran tokens used, by attempt
     * @param unbillable attempts whose receipts are lost; only these may be missing from the bill
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
