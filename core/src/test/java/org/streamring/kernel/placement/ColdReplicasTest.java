package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.streamring.kernel.limit.FleetShare;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ColdReplicasTest {
    /** Sustains 10 requests per second, and may crash above 20. */
    private static final ColdLimit LIMIT = new ColdLimit(10, 20);

    private static final int ENTRIES = 30;
    private static final int REPLICAS = 12;
    private static final FleetShare FIRST =
            new FleetShare(() -> new FleetShare.View(ENTRIES, 0, FleetShare.Start.FIRST), () -> 0);

    private Set<String> all;

    @BeforeMethod
    public void setUp() {
        all = names(ENTRIES);
    }

    @Test
    public void aWarmReplicaAcceptsAnyNumberOfRequests() {
        ColdReplicas cold = new ColdReplicas("entry-1", () -> all, FIRST);
        IntStream.range(0, 1_000).forEach(each -> cold.placed("i-1", 0));
        assertThat(cold.mayPlace("i-1", LIMIT, 0)).isTrue();
    }

    @Test
    public void aServiceWithoutColdRateIsNotLimited() {
        ColdReplicas cold = new ColdReplicas("entry-1", Set::of, FIRST);
        cold.recordCold("i-1", 3_000, 0);
        assertThat(cold.mayPlace("i-1", ColdLimit.NONE, 0)).isTrue();
    }

    @Test
    public void theLatestEndOfTheColdPeriodAppliesAndAReportOfZeroDoesNotEndIt() {
        ColdReplicas cold = new ColdReplicas("entry-1", () -> all, FIRST);
        cold.recordCold("i-1", 3_000, 1_000);
        cold.recordCold("i-1", 500, 2_000);
        cold.recordCold("i-1", 0, 2_500);
        assertThat(cold.isCold("i-1", 3_999)).isTrue();
        assertThat(cold.isCold("i-1", 4_000)).isFalse();
    }

    @Test
    public void anEntryWithoutViewOfTheFleetSendsNothingToAColdReplica() {
        ColdReplicas cold = new ColdReplicas("entry-1", Set::of, FIRST);
        cold.recordCold("i-1", 3_000, 0);
        assertThat(cold.mayPlace("i-1", LIMIT, 100)).isFalse();
    }

    @Test
    public void aStartingProcessSendsNothingWhileRequestsOfItsPredecessorCount() {
        long[] sinceStart = {0};
        FleetShare share =
                new FleetShare(() -> new FleetShare.View(1, 0, FleetShare.Start.RESTARTED), () -> sinceStart[0]);
        ColdReplicas cold = new ColdReplicas("entry-1", () -> Set.of("entry-1"), share);
        cold.recordCold("i-1", 10_000, 0);
        sinceStart[0] = ColdReplicas.WINDOW_MILLIS - 1;
        assertThat(cold.mayPlace("i-1", LIMIT, sinceStart[0])).isFalse();
        sinceStart[0]++;
        assertThat(cold.mayPlace("i-1", LIMIT, sinceStart[0])).isTrue();
    }

    @Test
    public void aRequestThatWasNotSentDoesNotCount() {
        ColdReplicas cold = new ColdReplicas("entry-1", () -> Set.of("entry-1"), FIRST);
        cold.recordCold("i-1", 10_000, 0);
        IntStream.range(0, ColdReplicas.requestsPerOwner(LIMIT)).forEach(each -> cold.placed("i-1", 100 + each));
        cold.notSent("i-2", 100);
        cold.notSent("i-1", 99);
        assertThat(cold.mayPlace("i-1", LIMIT, 200)).isFalse();
        cold.notSent("i-1", 101);
        assertThat(cold.mayPlace("i-1", LIMIT, 200)).isTrue();
        cold.placed("i-1", 200);
        assertThat(cold.mayPlace("i-1", LIMIT, 200)).isFalse();
    }

    @Test
    public void aRateThatIsTooSmallForItsOwnersAllowsNoRequests() {
        assertThat(ColdReplicas.requestsPerOwner(new ColdLimit(0.5, 5.75))).isZero();
        assertThat(ColdReplicas.requestsPerOwner(new ColdLimit(1, 6.5))).isEqualTo(1);
        assertThat(ColdReplicas.requestsPerOwner(LIMIT)).isEqualTo(3);
        assertThat(ColdReplicas.requestsPerOwner(new ColdLimit(100, 155))).isEqualTo(25);
    }

    /** 30 entries place as many requests as allowed; each request is sent up to 500 ms after its placement. */
    @Test
    public void twelveReplicasThatRestartColdTogetherStayWithinTheirLimit() {
        List<Long> most = mostInAnySecond(number -> all, false);
        assertThat(most).allMatch(each -> each <= LIMIT.maxInOneSecond() / 2);
        assertThat(most).as("cold replicas still receive some requests").allMatch(each -> each >= 3);
    }

    /** Half of the entries lost contact before the other half was replaced by entries with new names. */
    @Test
    public void entriesWithDisjointOwnersStayWithinTheLimit() {
        Set<String> others = new TreeSet<>();
        IntStream.range(0, ENTRIES).forEach(number -> others.add("new-" + number));
        Set<String> both = new HashSet<>(all);
        both.addAll(others);
        assertThat(mostInAnySecond(number -> number % 2 == 0 ? all : others, true))
                .allMatch(each -> each <= LIMIT.maxInOneSecond());
        assertThat(mostInAnySecond(number -> number % 2 == 0 ? all : both, true))
                .allMatch(each -> each <= LIMIT.maxInOneSecond());
    }

    private static List<Long> mostInAnySecond(IntFunction<Set<String>> view, boolean addNewEntries) {
        List<Long> most = new ArrayList<>();
        for (int replica = 0; replica < REPLICAS; replica++) {
            most.add(mostInAnySecond("i-" + replica, view, addNewEntries, new Random(replica)));
        }
        return most;
    }

    private static long mostInAnySecond(
            String replica, IntFunction<Set<String>> view, boolean addNewEntries, Random random) {
        List<ColdReplicas> fleet = new ArrayList<>();
        for (int number = 0; number < ENTRIES; number++) {
            Set<String> entriesInView = view.apply(number);
            fleet.add(new ColdReplicas("entry-" + number, () -> entriesInView, FIRST));
            if (addNewEntries) {
                Set<String> others = view.apply(number + 1);
                fleet.add(new ColdReplicas("new-" + number, () -> others, FIRST));
            }
        }
        fleet.forEach(each -> each.recordCold(replica, 10_000, 0));
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 6_000; now += 10) {
            for (ColdReplicas entry : fleet) {
                while (entry.mayPlace(replica, LIMIT, now)) {
                    entry.placed(replica, now);
                    sent.add(now + random.nextInt(500));
                }
            }
        }
        return mostInAnySecond(sent);
    }

    private static long mostInAnySecond(List<Long> sent) {
        Deque<Long> window = new ArrayDeque<>();
        long most = 0;
        for (long time : sent.stream().sorted().toList()) {
            window.addLast(time);
            while (window.peekFirst() <= time - 1_000) {
                window.removeFirst();
            }
            most = Math.max(most, window.size());
        }
        return most;
    }

    private static Set<String> names(int count) {
        Set<String> names = new TreeSet<>();
        IntStream.range(0, count).forEach(number -> names.add("entry-" + number));
        return names;
    }
}
