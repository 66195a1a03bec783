package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Borrows from one other entry. */
final class OneLender implements Lenders {
    private static final long ANSWER_TIMEOUT_MILLIS = 60;
    private static final long LINK_MILLIS = 1;

    private final EventLoop loop;
    private final Supplier<Lender> lender;

    OneLender(EventLoop loop, Supplier<Lender> lender) {
        this.loop = loop;
        this.lender = lender;
    }

    @Override
    public void ask(
            String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd, Runnable promisedLate) {
        long asked = lacking.getAsLong();
        if (asked <= 0) {
            atEnd.accept(Answers.NONE);
            return;
        }
        Question question = new Question(lent, atEnd, promisedLate);
        later(() -> lender.get().lend(account, asked, loan -> later(() -> question.answered(loan))));
        loop.schedule(() -> question.end(0, false), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void later(Runnable next) {
        loop.schedule(next, LINK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean canReturn(String account) {
        return true;
    }

    @Override
    public void giveBack(String account, long tokens) {
        later(() -> lender.get().takeBack(account, tokens));
    }

    /** One question to the lender, which ends at its answer or after a time. */
    private static final class Question {
        private final LongConsumer lent;
        private final Consumer<Answers> atEnd;
        private final Runnable promisedLate;
        private boolean ended;
        private boolean answered;

        private Question(LongConsumer lent, Consumer<Answers> atEnd, Runnable promisedLate) {
            this.lent = lent;
            this.atEnd = atEnd;
            this.promisedLate = promisedLate;
        }

        private void answered(Loan loan) {
            answered = true;
            boolean late = ended;
            if (loan.tokens() > 0) {
                lent.accept(loan.tokens());
            }
            if (late && loan.moreSoon()) {
                promisedLate.run();
            }
            end(1, loan.moreSoon());
        }

        private void end(int answers, boolean moreSoon) {
            if (!ended) {
                ended = true;
                atEnd.accept(new Answers(1, answers, answers > 0, moreSoon, () -> !answered));
            }
        }
    }
}
