package org.streamring.direct.ledger;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Other entries, as far as they may lend tokens. */
public interface Lenders {
    /**
     * Asks the others one after the other until nothing lacks or nobody is left.
     *
     * @param lacking tokens that lack at the moment
     * @param lent told each amount that was lent
     * @param atEnd told once, when the last one has answered or did not answer in time
     */
    void ask(String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd);

    /** Whether an entry that holds leases of the account is connected, to which tokens can be returned. */
    boolean canReturn(String account);

    /** Returns tokens, which are lost if they do not arrive. */
    void giveBack(String account, long tokens);

    /** Lends from this entry's leases to others. */
    interface Lender {
        /** Lends tokens, fewer than asked if there are not so many; tells the outcome once. */
        void lend(String account, long asked, Consumer<Loan> then);

        /** Takes tokens that a borrower returned. */
        void takeBack(String account, long tokens);
    }

    /**
     * What one entry lends.
     *
     * @param tokens tokens lent for good
     * @param moreSoon whether it may have more soon, as the store answers it
     */
    record Loan(long tokens, boolean moreSoon) {}

    /**
     * What the others answered.
     *
     * @param asked entries that were asked
     * @param answered those of them that answered in time
     * @param homeAnswered whether an entry that holds leases of the account answered
     * @param moreSoon whether such an entry may have more soon
     */
    record Answers(int asked, int answered, boolean homeAnswered, boolean moreSoon) {
        /** Nobody was asked. */
        static final Answers NONE = new Answers(0, 0, false, false);
    }
}
