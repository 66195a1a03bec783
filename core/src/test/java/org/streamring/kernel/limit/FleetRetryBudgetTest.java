package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    /** A retry counts for the window and for the time that it may take to arrive. */
    private static final long COUNTED_MILLIS = WINDOW_MILLIS + 500;
    /** Time after which all entries know of a new one. */
    private static final long VIEW_PROPAGATION_MILLIS = 10_000;

    private long nowMillis;
    private FleetShare.View view;

    @BeforeMethod
    public void setUp() {
        nowMillis = COUNTED_MILLIS;
        view = new FleetShare.View(1, 0, FleetShare.Start.RESTARTED);
    }

    @Test
    public void entriesShareTheSlackEvenly() {
        view = new FleetShare.View(5, 0, FleetShare.Start.RESTARTED);
        assertThat(sent(budget(0.2, 50), 100)).isEqualTo(8);
    }

    @Test
    public void requestsAddRetriesToTheBudget() {
        FleetRetryBudget budget = budget(0.2, 0);
        IntStream.range(0, 100).forEach(i -> budget.request(nowMillis));
        assertThat(sent(budget, 100)).isEqualTo(16);
    }

    @Test
    public void noWindowHoldsMoreRetriesThanTheLimit() {
        FleetRetryBudget budget = budget(0, 10);
        assertThat(sent(budget, 100)).isEqualTo(8);
        nowMillis += COUNTED_MILLIS - 1;
        assertThat(sent(budget, 100)).isZero();
        nowMillis++;
        assertThat(sent(budget, 100)).isEqualTo(8);
    }

    @Test
    public void aStartingProcessUsesNoSlackWhileRetriesOfItsPredecessorCount() {
        nowMillis = 0;
        FleetRetryBudget budget = budget(0.2, 50);
        nowMillis = COUNTED_MILLIS - 1;
        assertThat(sent(budget, 100)).isZero();
        nowMillis++;
        assertThat(sent(budget, 100)).isEqualTo(40);
    }

    @Test
    public void aProcessThatJoinsOthersUsesWhatTheyLeaveUntilTheyHaveDividedTheSlackAnew() {
        nowMillis = 0;
        view = new FleetShare.View(2, 0, FleetShare.Start.JOINED);
        FleetRetryBudget budget = budget(0.2, 50);
        assertThat(sent(budget, 100)).isEqualTo(10);
        nowMillis = COUNTED_MILLIS + VIEW_PROPAGATION_MILLIS - 1;
        assertThat(sent(budget, 100)).isEqualTo(10);
        nowMillis++;
        assertThat(sent(budget, 100)).isEqualTo(10);
    }

    @Test
    public void theFirstProcessOfAFleetHasItsSlackAtOnce() {
        nowMillis = 0;
        view = new FleetShare.View(1, 0, FleetShare.Start.FIRST);
        assertThat(sent(budget(0.2, 50), 100)).isEqualTo(40);
    }

    @Test
    public void aStartingProcessUsesTheRetriesThatItsRequestsAdd() {
        nowMillis = 0;
        FleetRetryBudget budget = budget(0.2, 50);
        IntStream.range(0, 100).forEach(i -> budget.request(nowMillis));
        assertThat(sent(budget, 100)).isEqualTo(16);
    }

    @Test
    public void noSlackIsUsedBeforeTheEntriesAreKnown() {
        view = new FleetShare.View(0, 0, FleetShare.Start.RESTARTED);
        assertThat(sent(budget(0.2, 50), 100)).isZero();
    }

    @Test
    public void noSlackIsUsedWhenTheEntriesWereReadLongAgo() {
        view = new FleetShare.View(2, 60_000, FleetShare.Start.RESTARTED);
        assertThat(sent(budget(0.2, 50), 100)).isZero();
    }

    @Test
    public void aGrantedRetryCountsFromTheMomentItIsSent() {
        FleetRetryBudget budget = budget(0, 10);
        List<FleetRetryBudget.Grant> waiting = grants(budget, 100);
        assertThat(waiting).hasSize(8);
        nowMillis += COUNTED_MILLIS;
        assertThat(grants(budget, 100)).isEmpty();
        waiting.forEach(each -> each.sent(nowMillis));
        nowMillis += COUNTED_MILLIS - 1;
        assertThat(grants(budget, 100)).isEmpty();
        nowMillis++;
        assertThat(grants(budget, 100)).hasSize(8);
    }

    @Test
    public void aRetryThatIsGivenBackIsFreeAgain() {
        FleetRetryBudget budget = budget(0, 10);
        List<FleetRetryBudget.Grant> granted = grants(budget, 100);
        granted.forEach(FleetRetryBudget.Grant::giveBack);
        granted.forEach(FleetRetryBudget.Grant::giveBack);
        assertThat(grants(budget, 100)).hasSize(8);
    }

    private FleetRetryBudget budget(double ratio, double slack) {
        long startMillis = 0;
        return new FleetRetryBudget(
                ratio, slack, WINDOW_MILLIS, new FleetShare(() -> view, () -> nowMillis - startMillis));
    }

    private List<FleetRetryBudget.Grant> grants(FleetRetryBudget budget, int asked) {
        List<FleetRetryBudget.Grant> granted = new ArrayList<>();
        for (int each = 0; each < asked; each++) {
            Optional<FleetRetryBudget.Grant> grant = budget.tryRetry(nowMillis);
            grant.ifPresent(granted::add);
        }
        return granted;
    }

    private int sent(FleetRetryBudget budget, int asked) {
        List<FleetRetryBudget.Grant> granted = grants(budget, asked);
        granted.forEach(each -> each.sent(nowMillis));
        return granted.size();
    }
}
