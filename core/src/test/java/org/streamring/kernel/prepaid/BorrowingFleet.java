package org.streamring.kernel.prepaid;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * A large fleet before one store, in simulated time: requests of many accounts arrive at any entry, whose home entries
 * lend, as the product's own book and homes decide. Messages and writes take no time; what is looked at is whether a
 * home has what is asked for while the store is away.
 */
final class BorrowingFleet {
    private static final PrepaidSettings SETTINGS = PrepaidSettings.DEFAULT;
    private static final long CLUMP_MILLIS = 2_000;
    private static final long STEP_MILLIS = 10;
    private static final long NOTE_EVERY_MILLIS = 200;
    private static final long RETURN_EVERY_MILLIS = 300;
    /** Requests are due to an account until this part of its limit is in use. */
    private static final double DUE_PART = 0.97;

    private final Random random;
    private final long dayMillis;
    private final List<Entry> entries;
    private final List<String> accounts;
    private final double[] weights;
    private final Map<String, PrepaidRow> rows = new HashMap<>();
    private final List<Outage> outages;
    private final long sampleMillis;
    private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
    private final TreeMap<Long, RequestTally> bySize = new TreeMap<>();
    private final RequestTally whileAway = new RequestTally();
    private final RequestTally whileReachable = new RequestTally();
    private final RequestTally due = new RequestTally();
    private final Map<String, Long> inUse = new HashMap<>();
    private final List<Hot> hot = new ArrayList<>();
    private double lostAtSample;
    private boolean uneven;
    private long nowMillis;
    private long spent;

    /** The store answers nobody for a while. */
    record Outage(long fromMillis, long forMillis) {
        private boolean holds(long millis) {
            return millis >= fromMillis && millis < fromMillis + forMillis;
        }
    }

    /** An account that sends several times its usual for some time. */
    record Hot(String account, double factor, long fromMillis, long untilMillis) {}

    private record Running(long endMillis, Entry entry, String account, long reserved, long used) {}

    private final class Entry {
        private final PrepaidBook book;
        private final AccountHomes homes;
        private final long writeOffsetMillis;
        private long confirmedMillis;
        private MarkRow marks = new MarkRow("", 0, Map.of(), Set.of(), 0);

        private Entry(int number, int count) {
            this.book = new PrepaidBook("entry-" + number + ".a", SETTINGS);
            this.homes = new AccountHomes("entry-" + number);
            this.homes.others(
                    IntStream.range(0, count).mapToObj(each -> "entry-" + each).toList());
            this.writeOffsetMillis = random.nextLong(writeEveryMillis(count));
        }

        private void write() {
            book.sample(nowMillis);
            Map<String, Mark> written = new HashMap<>();
            for (String account : accounts) {
                PrepaidRow row = rows.get(account);
                PrepaidBook.Proposal proposal = homes.isHome(account)
                        ? book.plan(account, row, homes.of(account).size(), homes.shape())
                        : book.planBorrower(account, row);
                book.proposed(proposal);
                proposal.row().ifPresent(changed -> rows.put(account, changed));
                book.confirmed(proposal);
                written.put(account, proposal.mark());
            }
            Set<String> named = Set.of("witness");
            book.witnesses().proposed(named);
            book.witnesses().confirmed(named);
            long releaseMillis = homes.shape().release().toMillis();
            book.release().proposed(releaseMillis);
            book.release().confirmed(releaseMillis);
            confirmedMillis = nowMillis;
            book.storeSilentFor(0);
            marks = new MarkRow(book.incarnation(), nowMillis, written, named, releaseMillis);
        }

        private long kept(String account) {
            return PrepaidBook.kept(rows.get(account).limit(), entries.size());
        }

        private void note() {
            if (book.needsNotes()) {
                book.noted("witness", book.wantedNotes());
            }
        }

        /** Tokens that nobody could take back if this entry and its witnesses died now. */
        private long lostAtDeath() {
            long patience = SETTINGS.patience().toMillis();
            long lost = 0;
            for (String account : accounts) {
                Holding holding = rows.get(account).holding(book.incarnation()).orElse(new Holding(0, 0));
                long counted = marks.heldBy(nowMillis, patience)
                        ? marks.usedAtMost(account, holding.granted(), nowMillis, patience)
                        : marks.releasedAtMost(account, holding.granted(), nowMillis, patience);
                lost += Math.max(
                        0, counted - book.planClose(account, rows.get(account)).granted());
            }
            return lost;
        }

        private long lend(String account, long asked) {
            if (book.available(account) < asked) {
                book.addWaiting(account, asked);
                if (!away()) {
                    write();
                } else if (book.noteWouldHelp(account, asked)) {
                    note();
                }
                book.addWaiting(account, -asked);
            }
            return homes.allAreHomes() ? book.lendWithSpare(account, asked) : book.lend(account, asked);
        }

        private boolean reserve(String account, long tokens) {
            if (book.reserve(account, tokens) == PrepaidBook.Outcome.RESERVED) {
                return true;
            }
            for (String home : homes.of(account)) {
                long lacking = tokens - book.available(account);
                Entry lender = entries.get(Integer.parseInt(home.substring("entry-".length())));
                if (lacking > 0 && lender != this) {
                    book.borrow(account, lender.lend(account, lacking));
                }
            }
            if (book.available(account) < tokens && homes.isHome(account)) {
                note();
            }
            return book.reserve(account, tokens) == PrepaidBook.Outcome.RESERVED;
        }

        private void returnIdle() {
            for (String account : accounts) {
                if (!homes.isHome(account)) {
                    long idle = book.giveUpIdle(account, kept(account));
                    if (idle > 0) {
                        String home = homes.of(account)
                                .get(random.nextInt(homes.of(account).size()));
                        entries.get(Integer.parseInt(home.substring("entry-".length())))
                                .book
                                .borrow(account, idle);
                    }
                }
            }
        }
    }

    BorrowingFleet(
            long seed,
            int count,
            int accountCount,
            long dayMillis,
            double limitFactor,
            List<Outage> outages,
            long sampleMillis) {

        this.random = new Random(seed);
        this.dayMillis = dayMillis;
        this.outages = outages;
        this.sampleMillis = sampleMillis;
        this.accounts = IntStream.range(0, accountCount)
                .mapToObj(each -> "account-" + each)
                .toList();
        this.weights = IntStream.range(0, accountCount)
                .mapToDouble(each -> 1 / Math.pow(each + 1, 0.8))
                .toArray();
        double sum = Arrays.stream(weights).sum();
        double perSecond = Arrays.stream(RequestKind.values())
                .mapToDouble(RequestKind::tokensPerSecond)
                .sum();
        for (int each = 0; each < accountCount; each++) {
            weights[each] /= sum;
            long limit = (long) (limitFactor * perSecond * weights[each] * dayMillis / 1_000);
            rows.put(accounts.get(each), PrepaidRow.EMPTY.withLimit(limit, 1));
        }
        this.entries = IntStream.range(0, count)
                .mapToObj(each -> new Entry(each, count))
                .toList();
    }

    private static long writeEveryMillis(int entries) {
        return 400 + 15L * entries;
    }

    BorrowingFleet hot(int account, double factor, long fromMillis, long forMillis) {
        hot.add(new Hot(accounts.get(account), factor, fromMillis, fromMillis + forMillis));
        return this;
    }

    /** Accounts send now much, now little, instead of evenly. */
    BorrowingFleet uneven() {
        uneven = true;
        return this;
    }

    BorrowingFleet play() {
        entries.forEach(Entry::write);
        for (nowMillis = STEP_MILLIS; nowMillis < dayMillis; nowMillis += STEP_MILLIS) {
            end();
            entries.forEach(this::tick);
            arrive();
            if (nowMillis == sampleMillis) {
                lostAtSample = lostIfAllDie();
            }
        }
        return this;
    }

    private void tick(Entry entry) {
        entry.book.storeSilentFor(away() ? nowMillis - entry.confirmedMillis : 0);
        long every = writeEveryMillis(entries.size());
        if (!away() && (nowMillis + entry.writeOffsetMillis) % every < STEP_MILLIS) {
            entry.write();
        }
        if (nowMillis % NOTE_EVERY_MILLIS < STEP_MILLIS) {
            entry.note();
        }
        if (nowMillis % RETURN_EVERY_MILLIS < STEP_MILLIS) {
            entry.returnIdle();
        }
    }

    /** Part of all limits that nobody could take back if all entries died now. */
    private double lostIfAllDie() {
        long limits = rows.values().stream().mapToLong(PrepaidRow::limit).sum();
        long lost = entries.stream().mapToLong(Entry::lostAtDeath).sum();
        return lost / (double) limits;
    }

    private boolean away() {
        return outages.stream().anyMatch(each -> each.holds(nowMillis));
    }

    private void end() {
        while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
            Running ended = running.poll();
            ended.entry().book.settle(ended.account(), ended.reserved(), ended.used());
            spent += ended.used();
            inUse.merge(ended.account(), ended.used() - ended.reserved(), Long::sum);
        }
    }

    private void arrive() {
        for (RequestKind kind : RequestKind.values()) {
            double due = kind.perSecond() * STEP_MILLIS / 1_000;
            for (int each = 0; each < accounts.size(); each++) {
                double expected = due * weights[each] * factor(accounts.get(each));
                if (random.nextDouble() < expected) {
                    request(kind, accounts.get(each));
                }
            }
        }
    }

    private double factor(String account) {
        return (uneven ? clump(account) : 1) * hotFactor(account);
    }

    /** Accounts send now much, now little. */
    private double clump(String account) {
        int draw = Math.floorMod((account + nowMillis / CLUMP_MILLIS).hashCode() * 31, 4);
        return draw == 0 ? 2.8 : 0.4;
    }

    private double hotFactor(String account) {
        return hot.stream()
                .filter(each -> each.account().equals(account)
                        && nowMillis >= each.fromMillis()
                        && nowMillis < each.untilMillis())
                .mapToDouble(Hot::factor)
                .findFirst()
                .orElse(1);
    }

    private void request(RequestKind kind, String account) {
        long prompt = kind.prompt(random);
        long most = prompt + 2L * kind.answer();
        Entry entry = entries.get(random.nextInt(entries.size()));
        boolean served = entry.reserve(account, most);
        bySize.computeIfAbsent(Math.min(5, most / 4_000), key -> new RequestTally())
                .note(most, served);
        (away() ? whileAway : whileReachable).note(most, served);
        long before = inUse.getOrDefault(account, 0L);
        if (before + most <= DUE_PART * rows.get(account).limit()) {
            due.note(most, served);
        }
        if (served) {
            inUse.merge(account, most, Long::sum);
            running.add(
                    new Running(nowMillis + 200 + 5L * kind.answer(), entry, account, most, prompt + kind.answer()));
        }
    }

    /** By size: 0 is under 4,000 tokens, 5 is 20,000 and more. */
    Map<Long, RequestTally> bySize() {
        return bySize;
    }

    RequestTally whileAway() {
        return whileAway;
    }

    RequestTally whileReachable() {
        return whileReachable;
    }

    /** Requests that fitted into 97 in 100 of their account's limit. */
    RequestTally due() {
        return due;
    }

    /** The part lost at the moment that was to be sampled. */
    double lostAtSample() {
        return lostAtSample;
    }

    /** Whether all that was spent counts as used, and no row is over its limit. */
    boolean withinLimits() {
        long used = rows.values().stream().mapToLong(PrepaidRow::used).sum();
        return spent <= used && rows.values().stream().allMatch(row -> row.used() <= row.limit());
    }
}
