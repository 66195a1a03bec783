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
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.request.TokenSource.Outcome;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.prepaid.Holding;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.PrepaidSettings;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.RowKey;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.RoutingConfiguration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A home entry of a fleet of 33 before a store that takes 30 ms to write, in simulated time. */
public class TokenDeskTest {
    private static final String ACCOUNT = "hotel";
    private static final long LIMIT = 10_000_000;
    /** More than marks leave without another write, and much less than the lease. */
    private static final long LARGE = 400_000;

    private static final long WRITE_MILLIS = 30;
    private static final String PREDECESSOR = "entry.dead";

    /** A borrower goes on to the next lender then. */
    private static final long ANSWER_MILLIS = 60;

    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    private static final long STANDS_STILL_MILLIS = 300;
    /** First wait of a process, a last try and the tick that ends them. */
    private static final long REFUSED_BESIDE_NOBODY_MILLIS = 200 + ANSWER_MILLIS + 20;

    private EmbeddedChannel time;
    private EventLoop loop;
    private long nowMillis;
    private SlowRows rows;
    private PrepaidBook book;
    private TokenDesk desk;
    private DecisionLog log;

    private Neighbours lenders;

    @BeforeMethod
    public void setUp() {
        begin(true);
        advanceUntilAWriteBegins();
        advance(WRITE_MILLIS);
    }

    private void begin(boolean home) {
        begin(home, List.of(ACCOUNT), List.of());
    }

    /** Begins with accounts, of some of which a predecessor on this box left leases. */
    private void begin(boolean home, List<String> accounts, List<String> left) {
        time = new EmbeddedChannel();
        time.freezeTime();
        loop = time.eventLoop();
        nowMillis = 0;
        rows = new SlowRows(loop, () -> nowMillis, WRITE_MILLIS);
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        List<String> names =
                IntStream.range(0, 33).mapToObj(each -> "entry-" + each).toList();
        AccountHomes view = new AccountHomes(names.get(0));
        view.others(names);
        String borrower = names.stream()
                .filter(name -> !view.of(ACCOUNT).contains(name))
                .findFirst()
                .orElseThrow();
        AccountHomes homes = new AccountHomes(home ? view.of(ACCOUNT).get(0) : borrower);
        homes.others(names);
        lenders = new Neighbours();
        book = new PrepaidBook("entry.a", PrepaidSettings.DEFAULT);
        List<PrepaidAccount> prepaid = accounts.stream()
                .map(name ->
                        new PrepaidAccount(name, List.of("key-" + name), OptionalInt.empty(), OptionalLong.of(LIMIT)))
                .toList();
        RouteTable table =
                new RouteTable(new RoutingConfiguration(1, List.of(), List.of(), prepaid, CallerLimits.DEFAULT));
        leavePredecessor(left);
        desk = new TokenDesk(
                loop,
                rows,
                book,
                "box",
                () -> Optional.of(table),
                homes,
                () -> 33,
                lenders,
                new NoWitnesses(),
                () -> nowMillis,
                () -> nowMillis,
                new Random(1),
                new EntryMetrics(),
                log);
        desk.start();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        time.close();
        log.close();
    }

    /** Such requests were refused after 190 ms, as the renewal that they asked for was forgotten. */
    @Test
    public void aRequestThatComesDuringAWriteIsServedByTheNextOne() {
        advanceUntilAWriteBegins();
        advance(WRITE_MILLIS / 2);
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(2 * WRITE_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** Lenders answered after 25 ms with what they had by then, so that nobody got enough. */
    @Test
    public void aBorrowerGetsAllOfALargeAskOnceTheStoreHasConfirmedIt() {
        List<Lenders.Loan> loans = askForMuch();
        advance(ANSWER_MILLIS);
        assertThat(loans).extracting(Lenders.Loan::tokens).containsExactly(LARGE);
    }

    @Test
    public void aBorrowerIsAnsweredInTimeWithWhatThereIsWhereTheStoreIsSilent() {
        rows.answers = false;
        List<Lenders.Loan> loans = askForMuch();
        advance(ANSWER_MILLIS - 1);
        assertThat(loans).hasSize(1);
        assertThat(loans.get(0).tokens()).isBetween(1L, LARGE - 1);
    }

    /** After a loss of all entries 407 requests were refused at once by entries that had not yet met a lender. */
    @Test
    public void anEntryThatIsBackWaitsForItsFirstLender() {
        begin(false);
        rows.answers = false;
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(100);
        assertThat(outcomes).isEmpty();
        lenders.connected = true;
        advance(30);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void anEntryThatMeetsNobodyRefusesSoon() {
        begin(false);
        rows.answers = false;
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(230);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void anEntryThatHasLostAllOthersRefusesAtOnce() {
        begin(false);
        advance(9_000);
        rows.answers = false;
        advance(4_000);
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    /** A lender stood still for 150 ms; its 18,750 idle tokens came after the request had been refused. */
    @Test
    public void aRequestWaitsForALenderThatStandsStillForAMoment() {
        List<Outcome> outcomes = askLender(OptionalLong.of(STANDS_STILL_MILLIS));
        advance(STANDS_STILL_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aLenderThatNeverAnswersDelaysARefusalByAFifthOfASecond() {
        List<Outcome> outcomes = askLender(OptionalLong.empty());
        advance(REFUSED_BESIDE_NOBODY_MILLIS + 200);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    @Test
    public void whereEachLenderHasAnsweredARefusalIsNotDelayed() {
        begin(false);
        rows.answers = false;
        lenders.connected = true;
        lenders.tokens = 0;
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(REFUSED_BESIDE_NOBODY_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    /**
     * A request that ends gives its tokens back, which serves the next one at once; that one was then served once more,
     * with other tokens, by the pass that had served the first. A request that is told twice is sent twice.
     */
    @Test
    public void aRequestIsServedOnceWhereTheOneBeforeItEndsAtOnce() {
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcome -> desk.settle(ACCOUNT, LARGE, 0));
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advanceUntilAWriteBegins();
        advance(2 * WRITE_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    /** It was answered as not run while it ran. */
    @Test
    public void aRequestThatIsServedAsTheOneBeforeItExpiresIsNotRefusedAfterwards() {
        begin(false);
        rows.answers = false;
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcome -> desk.lender().takeBack(ACCOUNT, LARGE));
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        advance(REFUSED_BESIDE_NOBODY_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    private List<Outcome> askLender(OptionalLong answersAfterMillis) {
        begin(false);
        rows.answers = false;
        lenders.connected = true;
        lenders.standsStill = true;
        lenders.answersAfterMillis = answersAfterMillis;
        List<Outcome> outcomes = new ArrayList<>();
        desk.reserve(ACCOUNT, LARGE, outcomes::add);
        return outcomes;
    }

    /** Asked after both homes, it wrote leases of its own into the row, and the four waits outlasted the borrower's. */
    @Test
    public void anEntryThatIsNoHomeAnswersABorrowerAtOnce() {
        begin(false);
        advance(1_000);
        assertThat(askForMuch()).extracting(Lenders.Loan::tokens).containsExactly(0L);
    }

    /**
     * After a loss of all of 33 entries each one's first write changed the rows of all accounts, so that hardly one was
     * confirmed for five seconds: home entries went on without leases, 911 requests were refused.
     */
    @Test
    public void anEntryThatIsBackFirstWritesOnlyTheAccountsWhoseHomeItIs() {
        List<String> accounts = fortyAccounts();
        begin(true, accounts, accounts);
        advanceUntilAWriteBegins();
        assertThat(rows.writes.get(0)).hasSizeLessThan(12);
        assertThat(heldByPredecessor(List.of(ACCOUNT))).isZero();
    }

    @Test
    public void whatAPredecessorLeftGoesBackWithinSecondsAFewAccountsAtATime() {
        List<String> accounts = fortyAccounts();
        begin(true, accounts, accounts);
        advance(8_000);
        assertThat(heldByPredecessor(accounts)).isZero();
        assertThat(rows.writes).allSatisfy(write -> assertThat(write).hasSizeLessThan(16));
    }

    private static List<String> fortyAccounts() {
        return IntStream.range(0, 40)
                .mapToObj(each -> each == 0 ? ACCOUNT : "account-" + each)
                .toList();
    }

    private List<Lenders.Loan> askForMuch() {
        advance(WRITE_MILLIS);
        List<Lenders.Loan> loans = new ArrayList<>();
        desk.lender().lend(ACCOUNT, LARGE, loans::add);
        return loans;
    }

    private void leavePredecessor(List<String> accounts) {
        Map<String, Mark> marks = new HashMap<>();
        for (String account : accounts) {
            marks.put(account, Mark.of(1_000));
            PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1).withHolding(PREDECESSOR, new Holding(500_000, 0));
            rows.put(new RowKey(LeaseRows.ACCOUNTS, "", account), PrepaidRowCodec.write(row));
        }
        if (!accounts.isEmpty()) {
            MarkRow row = new MarkRow(PREDECESSOR, 0, marks, Set.of(), 10_000);
            rows.put(new RowKey(LeaseRows.MARKS, "", "box"), PrepaidRowCodec.writeMarks(row));
        }
    }

    private long heldByPredecessor(List<String> accounts) {
        return accounts.stream()
                .map(account -> rows.value(new RowKey(LeaseRows.ACCOUNTS, "", account)))
                .flatMap(value -> PrepaidRowCodec.read(value).stream())
                .filter(row -> row.holding(PREDECESSOR).isPresent())
                .count();
    }

    private void advanceUntilAWriteBegins() {
        int before = rows.writes.size();
        for (int millis = 0; rows.writes.size() == before && millis < LONGEST_PAUSE_MILLIS; millis++) {
            advance(1);
        }
        assertThat(rows.writes).hasSizeGreaterThan(before);
    }

    private void advance(long millis) {
        for (long each = 0; each < millis; each++) {
            nowMillis++;
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runPendingTasks();
        }
    }

    /** Lend all that is asked for, once they are connected. */
    private final class Neighbours implements Lenders {
        private boolean connected;
        private long tokens = Long.MAX_VALUE;
        private boolean standsStill;
        private OptionalLong answersAfterMillis = OptionalLong.empty();

        @Override
        public void ask(String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd) {
            if (standsStill) {
                answersAfterMillis.ifPresent(
                        millis -> loop.schedule(() -> lent.accept(lacking.getAsLong()), millis, TimeUnit.MILLISECONDS));
                Answers none = new Answers(1, 0, false, false);
                loop.schedule(() -> atEnd.accept(none), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            if (connected) {
                lent.accept(Math.min(tokens, lacking.getAsLong()));
            }
            int asked = connected ? 1 : 0;
            atEnd.accept(new Answers(asked, asked, connected, false));
        }

        @Override
        public boolean canReturn(String account) {
            return false;
        }

        @Override
        public void giveBack(String account, long tokens) {
            throw new IllegalStateException("nobody is there");
        }
    }

    private static final class NoWitnesses implements Witnesses {
        @Override
        public Set<String> choose(Set<String> present) {
            return Set.of();
        }

        @Override
        public void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged) {
            throw new IllegalStateException("nobody is there");
        }

        @Override
        public boolean gone(String witness) {
            return true;
        }

        @Override
        public void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered) {
            throw new IllegalStateException("nobody is there");
        }
    }
}
