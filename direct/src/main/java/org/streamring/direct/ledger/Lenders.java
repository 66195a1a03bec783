package org.streamring.direct.ledger;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Other entries, as far as they may lend tokens. */
public interface Lenders {
    /**
     * Asks the others one after the other until nothing lacks or nobody is left.
     *
     * @param lacking tokens that lack at the moment
     * @param lent told each amount that was lent
     * @param atEnd run once, when the last one has answered or did not answer in time
     */
    void ask(String account, LongSupplier lacking, LongConsumer lent, Runnable atEnd);
}
