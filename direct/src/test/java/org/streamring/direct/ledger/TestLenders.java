package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Lenders that lend all requested tokens while they are connected. */
final class TestLenders implements Lenders {
    /** Time after which a borrower asks the next lender. */
    static final long ANSWER_MILLIS = 60;

    private final EventLoop loop;
    boolean connected;
    long tokens = Long.MAX_VALUE;
    boolean moreSoon;
    long answerMillis;
    long loanMillis;
    int queries;
    long lent;
    boolean paused;
    boolean lateAnswerExpected;
    /** Passes on the answer of a paused lender. */
    Runnable unread = () -> {};

    OptionalLong answersAfterMillis = OptionalLong.empty();

    TestLenders(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void ask(
            String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd, Runnable promisedLate) {
        if (paused) {
            lateAnswerExpected = true;
            unread = () -> answerLate(lacking, lent, promisedLate);
            answersAfterMillis.ifPresent(millis ->
                    loop.schedule(() -> answerLate(lacking, lent, promisedLate), millis, TimeUnit.MILLISECONDS));
            Answers none = new Answers(1, 0, false, false, () -> lateAnswerExpected);
            loop.schedule(() -> atEnd.accept(none), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (connected && loanMillis > 0) {
            lendLater(lacking.getAsLong(), lent, atEnd);
            return;
        }
        if (connected) {
            lent.accept(Math.min(tokens, lacking.getAsLong()));
        }
        int asked = connected ? 1 : 0;
        Answers answers = new Answers(asked, asked, connected, connected && moreSoon, () -> false);
        if (answerMillis > 0) {
            loop.schedule(() -> atEnd.accept(answers), answerMillis, TimeUnit.MILLISECONDS);
        } else {
            atEnd.accept(answers);
        }
    }

    private void answerLate(LongSupplier lacking, LongConsumer borrower, Runnable promisedLate) {
        lateAnswerExpected = false;
        borrower.accept(Math.min(tokens, lacking.getAsLong()));
        if (moreSoon) {
            promisedLate.run();
        }
    }

    private void lendLater(long asked, LongConsumer borrower, Consumer<Answers> atEnd) {
        queries++;
        loop.schedule(
                () -> {
                    long loan = Math.min(tokens, asked);
                    lent += loan;
                    borrower.accept(loan);
                    atEnd.accept(new Answers(1, 1, true, false, () -> false));
                },
                loanMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean canReturn(String account) {
        return false;
    }

    @Override
    public void giveBack(String account, long tokens) {
        throw new IllegalStateException("no lender is connected");
    }
}
