package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against turns that nobody uses after a membership change: an owner that issued a quarter of a limit told
 * entries to wait for up to five seconds, also beyond the time from which it issued the whole limit. Simulates two
 * entries whose callers want more than a server's limit allows.
 */
public class ShareRiseTest {
    private static final String INCARNATION = "i-1@1";
    private static final Set<String> ENTRIES = Set.of("a", "b");
    private static final double PER_SECOND = 1;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long SERVICE_MILLIS = 20;
    private static final long CALL_INTERVAL_MILLIS = 50;
    private static final long MEMBER_CHECK_MILLIS = 250;
    /** Owners check the members at an interval, and entries ask again after one. */
    private static final long TOLERANCE_MILLIS = MEMBER_CHECK_MILLIS + LimitedBackends.RETRY_MILLIS + 100;

    private final Map<String, PermitCoordinator> coordinators = new HashMap<>();
    private long nowMillis;
    private int placed;

    @BeforeMethod
    public void setUp() {
        coordinators.clear();
        ENTRIES.forEach(name ->
                coordinators.put(name, new PermitCoordinator(name, new DirectLink(name), new NoOpLimitEvents())));
        nowMillis = 0;
        placed = 0;
        updateMembers();
    }

    /** Times at which the server begins to announce its limit, up to one interval of the small share apart. */
    @DataProvider
    public static Object[][] announcements() {
        return IntStream.range(0, 16)
                .mapToObj(each -> new Object[] {2_000 + 250L * each})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "announcements")
    public void entriesUseTheWholeLimitAsSoonAsItsOwnerIssuesIt(long announcedMillis) {
        advanceTo(announcedMillis);
        coordinators.keySet().forEach(this::announce);
        advanceTo(PermitOwners.VIEW_PROPAGATION_MILLIS);
        placed = 0;
        advanceTo(PermitOwners.VIEW_PROPAGATION_MILLIS + TOLERANCE_MILLIS + 3 * INTERVAL_MILLIS);
        assertThat(placed).isBetween(3, 4);
    }

    private void advanceTo(long millis) {
        while (nowMillis < millis) {
            nowMillis += CALL_INTERVAL_MILLIS / 2;
            if (nowMillis % MEMBER_CHECK_MILLIS == 0) {
                updateMembers();
            }
            coordinators.keySet().stream()
                    .filter(name -> nowMillis % CALL_INTERVAL_MILLIS == 0 == name.equals("a"))
                    .forEach(this::call);
        }
    }

    private void updateMembers() {
        coordinators.forEach((name, coordinator) -> coordinator.entries(ENTRIES, Set.of(other(name)), nowMillis));
    }

    private void call(String entry) {
        PermitCoordinator coordinator = coordinators.get(entry);
        coordinator.wanted(INCARNATION, nowMillis);
        if (coordinator.limits().place(INCARNATION, nowMillis).isPresent()) {
            placed++;
            announce(entry);
        }
    }

    private void announce(String entry) {
        coordinators
                .get(entry)
                .answered(INCARNATION, LimitWord.named(PER_SECOND), nowMillis - SERVICE_MILLIS, nowMillis);
    }

    private static String other(String entry) {
        return ENTRIES.stream().filter(name -> !name.equals(entry)).findFirst().orElseThrow();
    }

    /** Delivers the frames of an entry to the other one at once. */
    private final class DirectLink implements PermitLink {
        private final String own;

        private DirectLink(String own) {
            this.own = own;
        }

        @Override
        public void sendRequest(String entry, long number, PermitAsk ask) {
            PermitGrant grant = coordinators.get(entry).answerRequest(own, ask, nowMillis);
            coordinators.get(own).granted(number, grant, nowMillis);
        }

        @Override
        public void sendUpdate(String entry, LimitNews update) {
            coordinators.get(entry).applyUpdate(own, update, nowMillis);
        }
    }
}
