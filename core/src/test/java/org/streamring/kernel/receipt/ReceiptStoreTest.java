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

public class ReceiptStoreTest {
    private static final ReceiptBookSettings SETTINGS =
            new ReceiptBookSettings(20, Duration.ofMinutes(10), 1000, Duration.ofHours(24), 50);

    private ReceiptStore receipts;

    @BeforeMethod
    public void setUp() {
        receipts = new ReceiptStore(SETTINGS);
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

    private static AttemptOrder nonRepeatable(String attempt, String request) {
        return order(attempt, request, false, 0);
    }

    private static AttemptOrder repeatable(String attempt, String request) {
        return order(attempt, request, true, 0);
    }

    @Test
    public void aRetryOfARunningRequestAttaches() {
        assertThat(receipts.admit(nonRepeatable("a1", "r"), 0)).isEqualTo(new Run());
        assertThat(receipts.admit(nonRepeatable("a2", "r"), 0)).isEqualTo(new Attach("a1"));
        assertThat(receipts.queryOrBar(List.of("a2")))
                .as("the retry is not charged")
                .isEmpty();
    }

    @Test
    public void aRetryOfAnAnsweredRequestGetsTheKeptAnswer() {
        receipts.admit(nonRepeatable("a1", "r"), 0);
        receipts.end(nonRepeatable("a1", "r"), Usage.flat(5), 100, 0);
        assertThat(receipts.admit(nonRepeatable("a2", "r"), 1)).isEqualTo(new Attach("a1"));
    }

    @Test
    public void aRequestWithAUsedIdentifierAndAnotherBodyIsRefused() {
        receipts.admit(nonRepeatable("a1", "r"), 0);
        AttemptOrder other = new AttemptOrder(
                "a2", "entry~1", "r", "other", "account", "budget", "entry~1/1", "service", 100, false, true, 0);
        assertThat(receipts.admit(other, 0)).isEqualTo(new Refuse(RefusalReason.KEY_REUSED));
    }

    @Test
    public void aNonRepeatableRequestIsNotRunAgainAfterItsAnswerExpired() {
        receipts.admit(nonRepeatable("a1", "r"), 0);
        receipts.end(nonRepeatable("a1", "r"), Usage.flat(5), 100, 0);
        long later = Duration.ofHours(1).toMillis();
        assertThat(receipts.expire(later)).containsExactly("a1");
        assertThat(receipts.admit(nonRepeatable("a2", "r"), later)).isEqualTo(new RanBefore());
    }

    @Test
    public void aRefusedNonRepeatableRequestIsNeverRunByThisIncarnation() {
        receipts.refuseNewAttempts();
        assertThat(receipts.admit(nonRepeatable("a1", "r"), 0)).isEqualTo(new Refuse(RefusalReason.LEAVING));
        receipts.acceptNewAttempts();
        assertThat(receipts.admit(nonRepeatable("a2", "r"), 0)).isInstanceOf(Refuse.class);
    }

    @Test
    public void aRefusedRepeatableRequestMayBeTriedAgain() {
        receipts.refuseNewAttempts();
        receipts.admit(repeatable("a1", "r"), 0);
        receipts.acceptNewAttempts();
        assertThat(receipts.admit(repeatable("a2", "r"), 0)).isEqualTo(new Run());
    }

    @Test
    public void aFailedRepeatableAttemptIsNotChargedAndMayRunAgain() {
        receipts.admit(repeatable("a1", "r"), 0);
        receipts.endWithoutCharge(repeatable("a1", "r"), 0);
        assertThat(receipts.queryOrBar(List.of("a1")).get(0).tokens()).isZero();
        assertThat(receipts.admit(repeatable("a2", "r"), 0)).isEqualTo(new Run());
    }

    @Test
    public void keptAnswersAreBoundedByMemory() {
        for (int i = 0; i < 5; i++) {
            receipts.admit(repeatable("a" + i, "r" + i), 0);
            receipts.end(repeatable("a" + i, "r" + i), Usage.flat(5), 400, 0);
        }
        assertThat(receipts.expire(1)).containsExactly("a0", "a1", "a2");
        assertThat(receipts.admit(repeatable("b0", "r0"), 1)).isEqualTo(new RanBefore());
        assertThat(receipts.admit(repeatable("b4", "r4"), 1)).isEqualTo(new Attach("a4"));
    }

    @Test
    public void recordedRequestsAreBoundedByCount() {
        for (int i = 0; i < 50; i++) {
            receipts.admit(nonRepeatable("a" + i, "r" + i), 0);
            receipts.end(nonRepeatable("a" + i, "r" + i), Usage.flat(5), 1, 0);
        }
        assertThat(receipts.admit(nonRepeatable("b", "new"), 0)).isEqualTo(new Refuse(RefusalReason.OVERLOAD));
    }

    @Test
    public void theLowestClassIsRefusedFirst() {
        int limit = RankLimit.of(receipts.capacity(), 9);
        assertThat(limit).isLessThan(receipts.capacity());
        for (int i = 0; i < limit - 1; i++) {
            assertThat(receipts.admit(order("a" + i, "r" + i, true, 0), 0)).isEqualTo(new Run());
        }
        assertThat(receipts.admit(order("low", "low", true, 9), 0)).isEqualTo(new Run());
        assertThat(receipts.admit(order("lower", "lower", true, 9), 0)).isEqualTo(new Refuse(RefusalReason.OVERLOAD));
        assertThat(receipts.admit(order("high", "high", true, 0), 0)).isEqualTo(new Run());
    }

    @Test
    public void aReceiptCountsTheWholeReservationUntilTheAttemptEnds() {
        receipts.admit(repeatable("a1", "r"), 0);
        assertThat(receipts.fence("entry~1").get(0).tokens()).isEqualTo(100);
        receipts.end(repeatable("a1", "r"), Usage.flat(7), 0, 0);
        assertThat(receipts.fence("entry~1").get(0).tokens()).isEqualTo(7);
    }

    @Test
    public void aQueryForAnUnknownAttemptBarsIt() {
        assertThat(receipts.queryOrBar(List.of("a1"))).isEmpty();
        assertThat(receipts.admit(repeatable("a1", "r"), 0)).isEqualTo(new Refuse(RefusalReason.FENCED));
    }

    @Test
    public void receiptsOfSettledLeasesAreRemovedUnlessTheirAttemptsAreRunning() {
        receipts.admit(repeatable("a1", "r1"), 0);
        receipts.admit(repeatable("a2", "r2"), 0);
        receipts.end(repeatable("a1", "r1"), Usage.flat(7), 0, 0);
        receipts.removeSettledReceipts(List.of("entry~1/1"));
        assertThat(receipts.receiptCount()).isEqualTo(1);
    }

    @Test
    public void anOrderThatWasNotForwardedLeavesNoReceipt() {
        receipts.admit(nonRepeatable("a1", "r"), 0);
        receipts.withdraw(nonRepeatable("a1", "r"), 0);
        assertThat(receipts.receiptCount()).isZero();
        assertThat(receipts.running()).isZero();
        assertThat(receipts.admit(nonRepeatable("a2", "r"), 0))
                .as("its entry may have sent it to another sidecar")
                .isInstanceOf(Refuse.class);
    }
}
