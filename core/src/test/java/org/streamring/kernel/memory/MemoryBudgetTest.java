package org.streamring.kernel.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MemoryBudgetTest {
    private static final long MEGABYTE = 1_000_000;
    private static final MemoryLimits LIMITS = new MemoryLimits(16 * MEGABYTE);

    private final List<String> events = new ArrayList<>();
    private MemoryBudget budget;
    private int releases;

    @BeforeMethod
    public void createBudget() {
        events.clear();
        releases = 0;
        budget = new MemoryBudget(LIMITS, () -> releases++);
    }

    @Test
    public void requestsGetMemoryInTheOrderOfTheirArrival() {
        MemoryReservation first = request("a", 4 * MEGABYTE, 0);
        request("b", 4 * MEGABYTE, 0);
        MemoryReservation third = request("c", 4 * MEGABYTE, 0);
        MemoryReservation smaller = request("d", MEGABYTE, 0);
        assertThat(first.held()).isTrue();
        assertThat(third.waiting()).isTrue();
        assertThat(smaller.waiting()).isTrue();
        first.release();
        assertThat(releases).isEqualTo(1);
        assertThat(third.waiting()).as("until the next turn").isTrue();
        budget.grantWaiting(10);
        assertThat(events).containsExactly("c granted");
        assertThat(third.waitedMillis(20)).isEqualTo(10);
    }

    @Test
    public void smallBodiesDoNotWaitForLargeOnes() {
        request("a", 8 * MEGABYTE, 0);
        request("b", 8 * MEGABYTE, 0);
        assertThat(request("small", MemoryLimits.SMALL_BYTES, 0).held()).isTrue();
    }

    @Test
    public void answersFindMemoryWhileRequestsOccupyAllThatTheyMay() {
        request("a", 4 * MEGABYTE, 0);
        request("b", 4 * MEGABYTE, 0);
        assertThat(answer("c", LIMITS.maxBytes(BodyKind.ANSWER), 0).held()).isTrue();
    }

    @Test
    public void theSumOfAllBodiesStaysBelowTheCapacity() {
        for (int i = 0; i < 1_000; i++) {
            request("r" + i, MemoryLimits.SMALL_BYTES, 0);
            answer("a" + i, i % 2 == 0 ? MEGABYTE : MemoryLimits.SMALL_BYTES, 0);
        }
        assertThat(budget.heldBytes()).isLessThanOrEqualTo(LIMITS.capacityBytes());
    }

    @Test
    public void aBodyThatNeverFitsIsRefusedAtOnce() {
        answer("a", LIMITS.maxBytes(BodyKind.ANSWER) + 1, 0);
        assertThat(events).containsExactly("a refused TOO_LARGE");
    }

    @Test
    public void aRequestIsRefusedAtOnceBehindMoreThanCanBeReadInTime() {
        for (int i = 0; i < 13; i++) {
            request("r" + i, 8 * MEGABYTE, 0);
        }
        assertThat(events).isEmpty();
        request("last", 8 * MEGABYTE, 0);
        assertThat(events).containsExactly("last refused QUEUE_FULL");
    }

    @Test
    public void aRequestThatWaitsTooLongIsRefusedWhileAnAnswerKeepsWaiting() {
        request("a", 8 * MEGABYTE, 0).arrived(MEGABYTE, 4_000);
        answer("b", 6 * MEGABYTE, 0);
        answer("c", 6 * MEGABYTE, 0);
        request("d", 8 * MEGABYTE, 0);
        budget.refuseOverdue(4_001);
        assertThat(events).containsExactly("d refused WAITED_TOO_LONG");
    }

    @Test
    public void anUploadThatStopsHalfWayGivesItsMemoryToThoseThatWait() {
        request("stalled", 8 * MEGABYTE, 0).arrived(4 * MEGABYTE, 100);
        MemoryReservation next = request("next", 8 * MEGABYTE, 0);
        budget.refuseOverdue(1_000);
        assertThat(events).isEmpty();
        budget.refuseOverdue(1_101);
        budget.grantWaiting(1_101);
        assertThat(events).containsExactly("stalled refused ARRIVES_TOO_SLOWLY", "next granted");
        assertThat(next.held()).isTrue();
    }

    @Test
    public void anUploadOfAFewBytesASecondGivesItsMemoryToThoseThatWait() {
        MemoryReservation slow = request("slow", 8 * MEGABYTE, 0);
        request("next", 8 * MEGABYTE, 0);
        for (int millis = 100; millis <= 1_100; millis += 100) {
            slow.arrived(1, millis);
        }
        budget.refuseOverdue(1_150);
        assertThat(events).containsExactly("slow refused ARRIVES_TOO_SLOWLY");
    }

    @Test
    public void aRequestThatArrivedWholeIsNotStalledAndGivesBackWhatItDoesNotNeed() {
        MemoryReservation whole = request("whole", 8 * MEGABYTE, 0);
        whole.arrived(10, 0);
        whole.wholeWith(10);
        assertThat(budget.heldBytes()).isEqualTo(10);
        assertThat(request("next", 8 * MEGABYTE, 0).held()).isTrue();
        request("waiting", 8 * MEGABYTE, 3_900);
        budget.refuseOverdue(10_000);
        assertThat(events).doesNotContain("whole refused ARRIVES_TOO_SLOWLY");
        whole.release();
        whole.release();
        assertThat(budget.heldBytes()).isGreaterThanOrEqualTo(0);
    }

    private MemoryReservation request(String name, long bytes, long nowMillis) {
        return reserve(BodyKind.REQUEST, name, bytes, nowMillis);
    }

    private MemoryReservation answer(String name, long bytes, long nowMillis) {
        return reserve(BodyKind.ANSWER, name, bytes, nowMillis);
    }

    private MemoryReservation reserve(BodyKind kind, String name, long bytes, long nowMillis) {
        return budget.reserve(kind, bytes, nowMillis, new MemoryReservation.Holder() {
            @Override
            public void granted() {
                events.add(name + " granted");
            }

            @Override
            public void refused(MemoryRefusal reason) {
                events.add(name + " refused " + reason);
            }
        });
    }
}
