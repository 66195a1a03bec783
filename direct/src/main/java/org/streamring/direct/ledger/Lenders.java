package org.streamring.direct.ledger;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Borrows tokens from other entries and returns them. */
public interface Lenders {
    /**
     * Asks other entries one after the other until no tokens are missing or all of them have been asked.
     *
     * @param lacking supplies the number of tokens that are still missing
     * @param lent receives the number of tokens of each loan
     * @param atEnd called once, when the last entry has answered or has timed out
     * @param promisedLate called for each answer after the end of an entry that holds leases of the account and may
     *     soon have more tokens; the tokens that it lent are passed on before
     */
    void ask(String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd, Runnable promisedLate);

    /** Returns whether an entry that holds leases of the account is connected, so that tokens can be returned to it. */
    boolean canReturn(String account);

    /** Returns tokens to an entry that holds leases of the account. They are lost if the message does not arrive. */
    void giveBack(String account, long tokens);

    /** Lends tokens of this entry's leases to other entries. */
    interface Lender {
        /** Lends up to the requested number of tokens, and calls {@code then} once with the result. */
        void lend(String account, long asked, Consumer<Loan> then);

        /** Accepts tokens that a borrower returned. */
        void takeBack(String account, long tokens);
    }

    /**
     * Result of asking one entry.
     *
     * @param tokens number of tokens lent; the borrower does not have to return them
     * @param moreSoon whether the lender may soon have more tokens, because the store answers it
     */
    record Loan(long tokens, boolean moreSoon) {}

    /**
     * Summary of the answers of all entries that were asked.
     *
     * @param asked number of entries that were asked
     * @param answered number of entries that answered in time
     * @param homeAnswered whether an entry that holds leases of the account answered
     * @param moreSoon whether an entry that holds leases of the account may soon have more tokens
     * @param lateAnswerExpected returns whether an entry that has not answered until now is still connected
     */
    record Answers(
            int asked, int answered, boolean homeAnswered, boolean moreSoon, BooleanSupplier lateAnswerExpected) {
        /** Summary for the case that no entry was asked. */
        static final Answers NONE = new Answers(0, 0, false, false, () -> false);
    }
}
