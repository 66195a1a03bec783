package org.streamring.direct.ledger;

import java.util.function.LongConsumer;

/** Other entries, as far as they may lend tokens. */
public interface Lenders {
    /**
     * Asks the others one after the other.
     *
     * @param then told once how many tokens were lent; 0 if nobody could
     */
    void ask(String account, long tokens, LongConsumer then);
}
