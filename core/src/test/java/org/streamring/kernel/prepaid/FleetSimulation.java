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
 * Simulates a large fleet that shares one store: requests of many accounts arrive at any entry and borrow tokens from
 * the home entries of their account. The production classes make all decisions about leases and home entries. Messages
 * and writes take no time; the simulation only shows whether home entries have the requested tokens during a store
 * outage.
 */
final class FleetSimulation {
    private static final PrepaidSettings SETTINGS = PrepaidSettings.DEFAULT;
    private static final long BURST_MILLIS = 2_000;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_INTERVAL_MILLIS = 200;
    private static final long RETURN_INTERVAL_MILLIS = 300;
    /** Requests count as covered until this part of the limit of their account is in use. */
    private static final double COVERED_PART = 0.97;

    private final Random random;
    private final long durationMillis;
    private final List<Entry> entries;
    private final List<String> accounts;
    private final double[] weights;
    private final Map<String, PrepaidRow> rows = new HashMap<>();
    private final List<Outage> outages;
    private final long sampleMillis;
    private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
    private final TreeMap<Long, RequestTally> bySize = new TreeMap<>();
    private final RequestTally duringOutage = new RequestTally();
    private final RequestTally outsideOutages = new RequestTally();
    private final RequestTally covered = new RequestTally();
    private final Map<String, Long> inUse = new HashMap<>();
    private final List<DemandPeak> demandPeaks = new ArrayList<>();
    private double unreclaimableAtSample;
    private boolean bursty;
    private long nowMillis;
    private long spent;

    /** Period during which the store does not answer. */
    record Outage(long fromMillis, long forMillis) {
        private boolean contains(long millis) {
            return millis >= fromMillis && millis < fromMillis + forMillis;
        }
    }

    /** Period during which an account sends several times its usual demand. */
    record DemandPeak(String account, double factor, long fromMillis, long untilMillis) {}

    private record Running(long endMillis, Entry entry, String account, long reserved, long used) {}

    private final class Entry {
        private final PrepaidLedger ledger;
        private final HomeEntries homeEntries;
        private final long writeOffsetMillis;
        private long confirmedMillis;
        private MarkRow caps = new MarkRow("", 0, Map.of(), Set.of(), 0);

        private Entry(int number, int count) {
            this.ledger = new PrepaidLedger("entry-" + number + ".a", SETTINGS);
            this.homeEntries = new HomeEntries("entry-" + number);
            this.homeEntries.updatePeers(
                    IntStream.range(0, count).mapToObj(each -> "entry-" + each).toList());
            this.writeOffsetMillis = random.nextLong(writeIntervalMillis(count));
        }

        private void write() {
            ledger.sample(nowMillis);
            Map<String, Mark> written = new HashMap<>();
            for (String account : accounts) {
                PrepaidRow row = rows.get(account);
                PrepaidLedger.Proposal proposal = homeEntries.isHome(account)
                        ? ledger.plan(account, row, homeEntries.of(account).size(), homeEntries.shape())
                        : ledger.planNonHome(account, row);
                ledger.proposed(proposal);
                proposal.row().ifPresent(changed -> rows.put(account, changed));
                ledger.confirmed(proposal);
                written.put(account, proposal.cap());
            }
            Set<String> named = Set.of("witness");
            ledger.witnesses().proposed(named);
            ledger.witnesses().confirmed(named);
            long releaseMillis = homeEntries.shape().release().toMillis();
            ledger.release().proposed(releaseMillis);
            ledger.release().confirmed(releaseMillis);
            confirmedMillis = nowMillis;
            ledger.setTimeSinceConfirmedWrite(0);
            caps = new MarkRow(ledger.incarnation(), nowMillis, written, named, releaseMillis);
        }

        private long kept(String account) {
            return PrepaidLedger.idleAllowance(rows.get(account).limit(), entries.size());
        }

        private void reportUse() {
            if (ledger.needsUsageRecords()) {
                ledger.addRecordedByWitness("witness", ledger.tokensToRecord());
            }
        }

        /** Returns the tokens that could not be reclaimed if this entry and its witnesses died now. */
        private long unreclaimable() {
            long silenceTimeout = SETTINGS.silenceTimeout().toMillis();
            long lost = 0;
            for (String account : accounts) {
                Holding holding =
                        rows.get(account).holding(ledger.incarnation()).orElse(new Holding(0, 0));
                long counted = caps.stayedWithinCaps(nowMillis, silenceTimeout)
                        ? caps.usedAtMost(account, holding.granted(), nowMillis, silenceTimeout)
                        : caps.releasedAtMost(account, holding.granted(), nowMillis, silenceTimeout);
                lost += Math.max(
                        0,
                        counted - ledger.planClose(account, rows.get(account)).granted());
            }
            return lost;
        }

        private long lend(String account, long asked) {
            if (ledger.available(account) < asked) {
                ledger.addWaiting(account, asked);
                if (!inOutage()) {
                    write();
                } else if (ledger.recordWouldHelp(account, asked)) {
                    reportUse();
                }
                ledger.addWaiting(account, -asked);
            }
            return homeEntries.allAreHomes() ? ledger.lendWithSpare(account, asked) : ledger.lend(account, asked);
        }

        private boolean reserve(String account, long tokens) {
            if (ledger.reserve(account, tokens) == PrepaidLedger.Outcome.RESERVED) {
                return true;
            }
            for (String home : homeEntries.of(account)) {
                long lacking = tokens - ledger.available(account);
                Entry lender = entries.get(Integer.parseInt(home.substring("entry-".length())));
                if (lacking > 0 && lender != this) {
                    ledger.borrow(account, lender.lend(account, lacking));
                }
            }
            if (ledger.available(account) < tokens && homeEntries.isHome(account)) {
                reportUse();
            }
            return ledger.reserve(account, tokens) == PrepaidLedger.Outcome.RESERVED;
        }

        private void returnIdle() {
            for (String account : accounts) {
                if (!homeEntries.isHome(account)) {
                    long idle = ledger.takeIdleForReturn(account, kept(account));
                    if (idle > 0) {
                        String home = homeEntries
                                .of(account)
                                .get(random.nextInt(homeEntries.of(account).size()));
                        entries.get(Integer.parseInt(home.substring("entry-".length())))
                                .ledger
                                .borrow(account, idle);
                    }
                }
            }
        }
    }

    FleetSimulation(
            long seed,
            int count,
            int accountCount,
            long durationMillis,
            double limitFactor,
            List<Outage> outages,
            long sampleMillis) {

        this.random = new Random(seed);
        this.durationMillis = durationMillis;
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
            long limit = (long) (limitFactor * perSecond * weights[each] * durationMillis / 1_000);
            rows.put(accounts.get(each), PrepaidRow.EMPTY.withLimit(limit, 1));
        }
        this.entries = IntStream.range(0, count)
                .mapToObj(each -> new Entry(each, count))
                .toList();
    }

    private static long writeIntervalMillis(int entries) {
        return 400 + 15L * entries;
    }

    FleetSimulation demandPeak(int account, double factor, long fromMillis, long forMillis) {
        demandPeaks.add(new DemandPeak(accounts.get(account), factor, fromMillis, fromMillis + forMillis));
        return this;
    }

    /** Makes the demand of accounts bursty instead of even. */
    FleetSimulation bursty() {
        bursty = true;
        return this;
    }

    FleetSimulation simulate() {
        entries.forEach(Entry::write);
        for (nowMillis = STEP_MILLIS; nowMillis < durationMillis; nowMillis += STEP_MILLIS) {
            settleEndedRequests();
            entries.forEach(this::tick);
            submitRequests();
            if (nowMillis == sampleMillis) {
                unreclaimableAtSample = unreclaimableShare();
            }
        }
        return this;
    }

    private void tick(Entry entry) {
        entry.ledger.setTimeSinceConfirmedWrite(inOutage() ? nowMillis - entry.confirmedMillis : 0);
        long intervalMillis = writeIntervalMillis(entries.size());
        if (!inOutage() && (nowMillis + entry.writeOffsetMillis) % intervalMillis < STEP_MILLIS) {
            entry.write();
        }
        if (nowMillis % REPORT_INTERVAL_MILLIS < STEP_MILLIS) {
            entry.reportUse();
        }
        if (nowMillis % RETURN_INTERVAL_MILLIS < STEP_MILLIS) {
            entry.returnIdle();
        }
    }

    /** Returns the part of all limits that could not be reclaimed if all entries died now. */
    private double unreclaimableShare() {
        long limits = rows.values().stream().mapToLong(PrepaidRow::limit).sum();
        long lost = entries.stream().mapToLong(Entry::unreclaimable).sum();
        return lost / (double) limits;
    }

    private boolean inOutage() {
        return outages.stream().anyMatch(each -> each.contains(nowMillis));
    }

    private void settleEndedRequests() {
        while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
            Running ended = running.poll();
            ended.entry().ledger.settle(ended.account(), ended.reserved(), ended.used());
            spent += ended.used();
            inUse.merge(ended.account(), ended.used() - ended.reserved(), Long::sum);
        }
    }

    private void submitRequests() {
        for (RequestKind kind : RequestKind.values()) {
            double requestsPerStep = kind.perSecond() * STEP_MILLIS / 1_000;
            for (int each = 0; each < accounts.size(); each++) {
                double expected = requestsPerStep * weights[each] * factor(accounts.get(each));
                if (random.nextDouble() < expected) {
                    request(kind, accounts.get(each));
                }
            }
        }
    }

    private double factor(String account) {
        return (bursty ? burstFactor(account) : 1) * demandPeakFactor(account);
    }

    /** Returns the factor of the demand of an account in the current burst period. */
    private double burstFactor(String account) {
        int draw = Math.floorMod((account + nowMillis / BURST_MILLIS).hashCode() * 31, 4);
        return draw == 0 ? 2.8 : 0.4;
    }

    private double demandPeakFactor(String account) {
        return demandPeaks.stream()
                .filter(each -> each.account().equals(account)
                        && nowMillis >= each.fromMillis()
                        && nowMillis < each.untilMillis())
                .mapToDouble(DemandPeak::factor)
                .findFirst()
                .orElse(1);
    }

    private void request(RequestKind kind, String account) {
        long prompt = kind.prompt(random);
        long maxTokens = prompt + 2L * kind.answer();
        Entry entry = entries.get(random.nextInt(entries.size()));
        boolean served = entry.reserve(account, maxTokens);
        bySize.computeIfAbsent(Math.min(5, maxTokens / 4_000), key -> new RequestTally())
                .count(maxTokens, served);
        (inOutage() ? duringOutage : outsideOutages).count(maxTokens, served);
        long before = inUse.getOrDefault(account, 0L);
        if (before + maxTokens <= COVERED_PART * rows.get(account).limit()) {
            covered.count(maxTokens, served);
        }
        if (served) {
            inUse.merge(account, maxTokens, Long::sum);
            running.add(new Running(
                    nowMillis + 200 + 5L * kind.answer(), entry, account, maxTokens, prompt + kind.answer()));
        }
    }

    /** Returns the requests by size class: 0 is under 4,000 tokens, 5 is 20,000 tokens or more. */
    Map<Long, RequestTally> bySize() {
        return bySize;
    }

    RequestTally duringOutage() {
        return duringOutage;
    }

    RequestTally outsideOutages() {
        return outsideOutages;
    }

    /** Returns the requests that fitted into 97 in 100 of the limit of their account. */
    RequestTally covered() {
        return covered;
    }

    /** Returns the part of all limits that a loss of all entries at the sampling time would leave unreclaimable. */
    double unreclaimableAtSample() {
        return unreclaimableAtSample;
    }

    /** Returns whether all spent tokens count as used and no row exceeds its limit. */
    boolean withinLimits() {
        long used = rows.values().stream().mapToLong(PrepaidRow::used).sum();
        return spent <= used && rows.values().stream().allMatch(row -> row.used() <= row.limit());
    }
}
