package org.streamring.kernel.receipt;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.streamring.kernel.limit.RankLimit;
import org.streamring.kernel.receipt.AdmitDecision.Attach;
import org.streamring.kernel.receipt.AdmitDecision.RanBefore;
import org.streamring.kernel.receipt.AdmitDecision.Refuse;
import org.streamring.kernel.receipt.AdmitDecision.Run;
import org.streamring.model.request.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReceiptBookTest {
    private static final ReceiptBookSettings SETTINGS =
            new ReceiptBookSettings(20, Duration.ofMinutes(10), 1000, Duration.ofHours(24), 50);

    private ReceiptBook book;

    @BeforeMethod
    public void setUp() {
        book = new ReceiptBook(SETTINGS);
    }

    private static AttemptOrder order(String attempt, String request, boolean repeatable, int rank) {
        return new AttemptOrder(
                attempt,
                "entry~1",
                request,
                "hash",
                "account",
                "budget",
                "entry~1/1",
                "service",
                100,
                repeatable,
                true,
                rank);
    }

    private static AttemptOrder once(String attempt, String request) {
        return order(attempt, request, false, 0);
    }

    private static AttemptOrder repeatable(String attempt, String request) {
        return order(attempt, request, true, 0);
    }

    @Test
    public void aRetryOfARunningRequestAttaches() {
        assertThat(book.admit(once("a1", "r"), 0)).isEqualTo(new Run());
        assertThat(book.admit(once("a2", "r"), 0)).isEqualTo(new Attach("a1"));
        assertThat(book.receiptsFor(List.of("a2"))).as("the retry pays nothing").isEmpty();
    }

    @Test
    public void aRetryOfAnAnsweredRequestGetsTheKeptAnswer() {
        book.admit(once("a1", "r"), 0);
        book.end(once("a1", "r"), Usage.flat(5), 100, 0);
        assertThat(book.admit(once("a2", "r"), 1)).isEqualTo(new Attach("a1"));
    }

    @Test
    public void anotherBodyUnderTheSameIdentifierIsRefused() {
        book.admit(once("a1", "r"), 0);
        AttemptOrder other = new AttemptOrder(
                "a2", "entry~1", "r", "other", "account", "budget", "entry~1/1", "service", 100, false, true, 0);
        assertThat(book.admit(other, 0)).isEqualTo(new Refuse(RefusalReason.KEY_REUSED));
    }

    @Test
    public void aNotRepeatableRequestIsNotRunAgainAfterItsAnswerExpired() {
        book.admit(once("a1", "r"), 0);
        book.end(once("a1", "r"), Usage.flat(5), 100, 0);
        long later = Duration.ofHours(1).toMillis();
        assertThat(book.expire(later)).containsExactly("a1");
        assertThat(book.admit(once("a2", "r"), later)).isEqualTo(new RanBefore());
    }

    @Test
    public void aRefusedNotRepeatableRequestIsNeverRunByThisIncarnation() {
        book.leave();
        assertThat(book.admit(once("a1", "r"), 0)).isEqualTo(new Refuse(RefusalReason.LEAVING));
        book.stay();
        assertThat(book.admit(once("a2", "r"), 0)).isInstanceOf(Refuse.class);
    }

    @Test
    public void aRefusedRepeatableRequestMayBeTriedAgain() {
        book.leave();
        book.admit(repeatable("a1", "r"), 0);
        book.stay();
        assertThat(book.admit(repeatable("a2", "r"), 0)).isEqualTo(new Run());
    }

    @Test
    public void aRepeatableRequestThatBrokeOffIsFreeAndMayRunAgain() {
        book.admit(repeatable("a1", "r"), 0);
        book.brokeOff(repeatable("a1", "r"), 0);
        assertThat(book.receiptsFor(List.of("a1")).get(0).tokens()).isZero();
        assertThat(book.admit(repeatable("a2", "r"), 0)).isEqualTo(new Run());
    }

    @Test
    public void keptAnswersAreBoundedByMemory() {
        for (int i = 0; i < 5; i++) {
            book.admit(repeatable("a" + i, "r" + i), 0);
            book.end(repeatable("a" + i, "r" + i), Usage.flat(5), 400, 0);
        }
        assertThat(book.expire(1)).containsExactly("a0", "a1", "a2");
        assertThat(book.admit(repeatable("b0", "r0"), 1)).isEqualTo(new RanBefore());
        assertThat(book.admit(repeatable("b4", "r4"), 1)).isEqualTo(new Attach("a4"));
    }

    @Test
    public void rememberedRequestsAreBoundedByCount() {
        for (int i = 0; i < 50; i++) {
            book.admit(once("a" + i, "r" + i), 0);
            book.end(once("a" + i, "r" + i), Usage.flat(5), 1, 0);
        }
        assertThat(book.admit(once("b", "new"), 0)).isEqualTo(new Refuse(RefusalReason.OVERLOAD));
    }

    @Test
    public void theLowestClassIsRefusedFirst() {
        int limit = RankLimit.of(book.capacity(), 9);
        assertThat(limit).isLessThan(book.capacity());
        for (int i = 0; i < limit - 1; i++) {
            assertThat(book.admit(order("a" + i, "r" + i, true, 0), 0)).isEqualTo(new Run());
        }
        assertThat(book.admit(order("low", "low", true, 9), 0)).isEqualTo(new Run());
        assertThat(book.admit(order("lower", "lower", true, 9), 0)).isEqualTo(new Refuse(RefusalReason.OVERLOAD));
        assertThat(book.admit(order("high", "high", true, 0), 0)).isEqualTo(new Run());
    }

    @Test
    public void aReceiptCountsItsWholeReservationUntilItsEndIsKnown() {
        book.admit(repeatable("a1", "r"), 0);
        assertThat(book.fence("entry~1").get(0).tokens()).isEqualTo(100);
        book.end(repeatable("a1", "r"), Usage.flat(7), 0, 0);
        assertThat(book.fence("entry~1").get(0).tokens()).isEqualTo(7);
    }

    @Test
    public void aQuestionForAnUnknownAttemptBarsIt() {
        assertThat(book.receiptsFor(List.of("a1"))).isEmpty();
        assertThat(book.admit(repeatable("a1", "r"), 0)).isEqualTo(new Refuse(RefusalReason.FENCED));
    }

    @Test
    public void settledReceiptsAreForgottenButRunningOnesAreNot() {
        book.admit(repeatable("a1", "r1"), 0);
        book.admit(repeatable("a2", "r2"), 0);
        book.end(repeatable("a1", "r1"), Usage.flat(7), 0, 0);
        book.forgetLeases(List.of("entry~1/1"));
        assertThat(book.receiptCount()).isEqualTo(1);
    }

    @Test
    public void anOrderThatWasNotForwardedLeavesNoReceipt() {
        book.admit(once("a1", "r"), 0);
        book.notForwarded(once("a1", "r"), 0);
        assertThat(book.receiptCount()).isZero();
        assertThat(book.running()).isZero();
        assertThat(book.admit(once("a2", "r"), 0))
                .as("its entry may have sent it elsewhere")
                .isInstanceOf(Refuse.class);
    }
}
