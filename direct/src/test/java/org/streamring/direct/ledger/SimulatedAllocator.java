package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.request.TokenSource.Outcome;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.prepaid.Holding;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.PrepaidSettings;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.RowKey;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.RoutingConfiguration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Entry of a fleet of 33 with a store that takes 30 ms to write, in simulated time. */
abstract class SimulatedAllocator {
    static final String ACCOUNT = "hotel";
    static final long LIMIT = 10_000_000;
    /** More than the usage caps allow without another write, and much less than the lease. */
    static final long LARGE = 400_000;

    static final long WRITE_MILLIS = 30;
    static final long LENDER_PAUSE_MILLIS = 300;
    static final long EXPIRY_CHECK_INTERVAL_MILLIS = 20;
    /** Wait for the first lease of a process, one final try and the check interval that ends them. */
    static final long REFUSAL_WITHOUT_LENDER_MILLIS = 200 + TestLenders.ANSWER_MILLIS + EXPIRY_CHECK_INTERVAL_MILLIS;

    static final String PREDECESSOR = "entry.dead";
    static final long MAX_WRITE_PAUSE_MILLIS = 2_000;

    EmbeddedChannel time;
    private EventLoop loop;
    long nowMillis;
    SlowRows rows;
    PrepaidLedger ledger;
    TokenAllocator tokenAllocator;
    private DecisionLog log;

    TestLenders lenders;

    @BeforeMethod
    public void setUp() {
        startEntry(true);
        advanceUntilAWriteBegins();
        advance(WRITE_MILLIS);
    }

    void startEntry(boolean home) {
        startEntry(home, List.of(ACCOUNT), List.of());
    }

    /** Starts an entry with the given accounts. A predecessor on this box left leases of some of them. */
    void startEntry(boolean home, List<String> accounts, List<String> accountsWithLeases) {
        time = new EmbeddedChannel();
        time.freezeTime();
        loop = time.eventLoop();
        nowMillis = 0;
        rows = new SlowRows(loop, () -> nowMillis, WRITE_MILLIS);
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        List<String> names =
                IntStream.range(0, 33).mapToObj(each -> "entry-" + each).toList();
        HomeEntries view = new HomeEntries(names.get(0));
        view.updatePeers(names);
        String borrower = names.stream()
                .filter(name -> !view.of(ACCOUNT).contains(name))
                .findFirst()
                .orElseThrow();
        HomeEntries homeEntries = new HomeEntries(home ? view.of(ACCOUNT).get(0) : borrower);
        homeEntries.updatePeers(names);
        lenders = new TestLenders(loop);
        ledger = new PrepaidLedger("entry.a", PrepaidSettings.DEFAULT);
        List<PrepaidAccount> prepaid = accounts.stream()
                .map(name ->
                        new PrepaidAccount(name, List.of("key-" + name), OptionalInt.empty(), OptionalLong.of(LIMIT)))
                .toList();
        RouteTable table =
                new RouteTable(new RoutingConfiguration(1, List.of(), List.of(), prepaid, CallerLimits.DEFAULT));
        leavePredecessor(accountsWithLeases);
        tokenAllocator = new TokenAllocator(
                loop,
                rows,
                ledger,
                "box",
                () -> Optional.of(table),
                homeEntries,
                () -> 33,
                lenders,
                new NoWitnesses(),
                new NoCopies(),
                new AccountKnowledge(),
                () -> 0,
                () -> true,
                () -> nowMillis,
                () -> nowMillis,
                new Random(1),
                new EntryMetrics(),
                log);
        tokenAllocator.start();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        time.close();
        log.close();
    }

    List<Outcome> reserveLarge() {
        List<Outcome> outcomes = new ArrayList<>();
        tokenAllocator.reserve(ACCOUNT, LARGE, outcomes::add);
        return outcomes;
    }

    List<Outcome> askLender(OptionalLong answersAfterMillis, long lenderTokens) {
        startEntry(false);
        rows.answers = false;
        lenders.tokens = lenderTokens;
        lenders.connected = true;
        lenders.paused = true;
        lenders.answersAfterMillis = answersAfterMillis;
        return reserveLarge();
    }

    private void leavePredecessor(List<String> accounts) {
        Map<String, Mark> usageCaps = new HashMap<>();
        for (String account : accounts) {
            usageCaps.put(account, Mark.of(1_000));
            PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1).withHolding(PREDECESSOR, new Holding(500_000, 0));
            rows.put(new RowKey(LeaseRows.ACCOUNTS, "", account), PrepaidRowCodec.write(row));
        }
        if (!accounts.isEmpty()) {
            MarkRow row = new MarkRow(PREDECESSOR, 0, usageCaps, Set.of(), 10_000);
            rows.put(new RowKey(LeaseRows.USAGE_CAPS, "", "box"), PrepaidRowCodec.writeUsageCaps(row));
        }
    }

    void advanceUntilTheStoreIsLost() {
        rows.answers = false;
        for (int millis = 0; !tokenAllocator.storeUnreachable() && millis < 2 * MAX_WRITE_PAUSE_MILLIS; millis++) {
            advance(1);
        }
        assertThat(tokenAllocator.storeUnreachable()).isTrue();
    }

    void advanceUntilAWriteBegins() {
        int before = rows.writes.size();
        for (int millis = 0; rows.writes.size() == before && millis < MAX_WRITE_PAUSE_MILLIS; millis++) {
            advance(1);
        }
        assertThat(rows.writes).hasSizeGreaterThan(before);
    }

    void advance(long millis) {
        for (long each = 0; each < millis; each++) {
            nowMillis++;
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runPendingTasks();
        }
    }

    /** The event loop does not run for some time, then runs its timers, and reads nothing yet. */
    void holdUp(long millis) {
        nowMillis += millis;
        time.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        time.runPendingTasks();
    }
}
