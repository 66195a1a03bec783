package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates entries that lease tokens of one account while answers are lost, writes are delayed, and entries are cut
 * off from the store, killed and replaced. In no order of events are more tokens spent than the row counts as used, nor
 * does the row exceed the limit.
 */
public class PrepaidFaultInjectionTest {
    private static final String ACCOUNT = "portal";
    private static final long LIMIT = 400_000;
    private static final int ENTRIES = 3;
    private static final int STEPS = 4_000;
    private static final long STEP_MILLIS = 100;
    private static final long SILENCE_TIMEOUT_MILLIS =
            PrepaidSettings.DEFAULT.silenceTimeout().toMillis();
    private static final long COVER_MILLIS = PrepaidSettings.DEFAULT.cover().toMillis();
    private static final long MARGIN_MILLIS = 200;
    private static final int SEEDS = 150;
    /** One in this many attempts of a successor to ask the witnesses reclaims tokens without their answers instead. */
    private static final int WITHOUT_WITNESSES_ONE_IN = 10;

    private static final long LINK_STATE_MILLIS = 8_000;
    /** Interval at which entries change between holding leases and only borrowing, and leases change their sizing. */
    private static final long ROLE_CHANGE_MILLIS = 20_000;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void neverSpendsMoreThanTheLimit(int seed) {
        Simulation simulation = new Simulation(seed);
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
            assertThat(simulation.spent).as("step %d", step).isLessThanOrEqualTo(simulation.row.used());
            assertThat(simulation.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
        assertThat(simulation.spent)
                .as("a large part of the limit can be spent")
                .isGreaterThan(LIMIT / 4);
    }

    @Test(dataProvider = "seeds")
    public void neverSpendsMoreThanTheLimitWhereSomeEntriesOnlyBorrow(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.someEntriesBorrow = true;
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
            assertThat(simulation.spent).as("step %d", step).isLessThanOrEqualTo(simulation.row.used());
            assertThat(simulation.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
    }

    @Test(dataProvider = "seeds")
    public void neverSpendsMoreThanTheLimitWhereWitnessesRecordUse(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.witnessed = true;
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
            assertThat(simulation.spent).as("step %d", step).isLessThanOrEqualTo(simulation.row.used());
            assertThat(simulation.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
        assertThat(simulation.spent)
                .as("a large part of the limit can be spent")
                .isGreaterThan(LIMIT / 3);
    }

    @Test(dataProvider = "seeds")
    public void neverSpendsMoreThanTheLimitWhereLeaseSizingChanges(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.witnessed = true;
        simulation.someEntriesBorrow = true;
        simulation.leaseSizingChanges = true;
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
            assertThat(simulation.spent).as("step %d", step).isLessThanOrEqualTo(simulation.row.used());
            assertThat(simulation.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
    }

    /** A usage report in transit to a witness; it may be delayed, duplicated or lost. */
    private record SentUsageReport(long dueMillis, String witness, Entry from, Map<String, Long> tokens) {}

    private static final class DelayedWrite {
        private final long dueMillis;
        private final long rowVersion;
        private final long marksVersion;
        private final Entry writer;
        private final Optional<PrepaidRow> row;
        private final MarkRow marks;

        private DelayedWrite(
                long dueMillis,
                long rowVersion,
                long marksVersion,
                Entry writer,
                Optional<PrepaidRow> row,
                MarkRow marks) {
            this.dueMillis = dueMillis;
            this.rowVersion = rowVersion;
            this.marksVersion = marksVersion;
            this.writer = writer;
            this.row = row;
            this.marks = marks;
        }
    }

    private static final class Entry {
        private final int box;
        private final String incarnation;
        private final PrepaidLedger ledger;
        private final long startMillis;
        private boolean reclaimed;
        private final DurableCapRise rise = new DurableCapRise();
        private boolean cutOff;
        private final WitnessRecords witnessRecords = new WitnessRecords();
        private Optional<MarkRow> predecessor = Optional.empty();
        private final Map<String, Map<String, Long>> witnessAnswers = new HashMap<>();

        private Entry(int box, String incarnation, long startMillis) {
            this.box = box;
            this.incarnation = incarnation;
            this.startMillis = startMillis;
            this.ledger = new PrepaidLedger(incarnation, PrepaidSettings.DEFAULT);
        }
    }

    private static final class Simulation {
        private final Random random;
        private final Map<Integer, Entry> entries = new HashMap<>();
        private final Map<Integer, MarkRow> marks = new HashMap<>();
        private final Map<Integer, Long> marksVersions = new HashMap<>();
        private final List<DelayedWrite> delayedWrites = new ArrayList<>();
        private PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1);
        private long version = 1;
        private long rowVersion = 1;
        private long nowMillis;
        private long spent;
        private int reclaimedCount;
        private int incarnations;
        private boolean someEntriesBorrow;
        private boolean witnessed;
        /** Whether the fleet grows and shrinks, so that the sizing of leases changes. */
        private boolean leaseSizingChanges;

        private final Map<String, PrepaidLedger> dead = new HashMap<>();
        private final List<SentUsageReport> usageReports = new ArrayList<>();

        private Simulation(int seed) {
            random = new Random(seed);
            for (int box = 0; box < ENTRIES; box++) {
                start(box);
            }
        }

        private void start(int box) {
            entries.put(box, new Entry(box, "entry-" + box + "." + incarnations++, nowMillis));
        }

        private void step() {
            nowMillis += STEP_MILLIS;
            applyDelayedWrites();
            deliverUsageReports();
            for (Entry entry : List.copyOf(entries.values())) {
                act(entry);
            }
        }

        private void act(Entry entry) {
            entry.ledger.sample(nowMillis);
            if (entry.reclaimed) {
                entry.ledger.setTimeSinceConfirmedWrite(
                        nowMillis - entry.rise.usable().localMillis(),
                        nowMillis - entry.rise.inForce().localMillis());
            }
            sendUsageReports(entry);
            askWitnesses(entry);
            serve(entry);
            int draw = random.nextInt(1_000);
            if (draw < 4) {
                entries.remove(entry.box);
                dead.put(entry.incarnation, entry.ledger);
                nowMillis += random.nextInt(6) * 1_000L;
                start(entry.box);
            } else if (draw < 12) {
                entry.cutOff = !entry.cutOff;
            } else if (draw < 400 && !entry.cutOff) {
                write(entry);
            }
        }

        private void serve(Entry entry) {
            long tokens = 1L + random.nextInt(400);
            if (entry.ledger.reserve(ACCOUNT, tokens) == PrepaidLedger.Outcome.RESERVED) {
                long used = random.nextInt((int) tokens + 1);
                spent += used;
                entry.ledger.settle(ACCOUNT, tokens, used);
                return;
            }
            Entry lender = entries.get(random.nextInt(ENTRIES));
            if (lender != entry) {
                long lent = lender.ledger.lend(ACCOUNT, tokens);
                boolean arrives = random.nextInt(10) > 0;
                entry.ledger.borrow(ACCOUNT, arrives ? lent : 0);
            }
        }

        private void write(Entry entry) {
            if (!entry.reclaimed) {
                reclaim(entry);
                return;
            }
            boolean borrower = someEntriesBorrow && (entry.box + nowMillis / ROLE_CHANGE_MILLIS) % 2 == 0;
            PrepaidLedger.Proposal proposal = borrower
                    ? entry.ledger.planNonHome(ACCOUNT, row)
                    : entry.ledger.plan(ACCOUNT, row, ENTRIES, shape());
            entry.ledger.proposed(proposal);
            Set<String> namedWitnesses = chooseWitnesses(entry);
            entry.ledger.witnesses().proposed(namedWitnesses);
            long releaseMillis = shape().release().toMillis();
            entry.ledger.release().proposed(releaseMillis);
            DurableCapRise.RiseStart start = entry.rise.proposed(new DurableCapRise.RiseStart(nowMillis, nowMillis));
            MarkRow newMarks = new MarkRow(
                    entry.incarnation,
                    start.storeMillis(),
                    Map.of(ACCOUNT, proposal.cap()),
                    namedWitnesses,
                    releaseMillis);
            int outcome = random.nextInt(10);
            if (outcome == 0) {
                long due = nowMillis + random.nextInt(6_000);
                delayedWrites.add(
                        new DelayedWrite(due, rowVersion, marksVersion(entry.box), entry, proposal.row(), newMarks));
                entry.ledger.outcomeUnknown(proposal);
                entry.ledger.witnesses().outcomeUnknown();
                entry.ledger.release().outcomeUnknown();
                entry.rise.outcomeUnknown();
            } else if (outcome == 1) {
                commit(entry.box, proposal.row(), newMarks);
                entry.ledger.outcomeUnknown(proposal);
                entry.ledger.witnesses().outcomeUnknown();
                entry.ledger.release().outcomeUnknown();
                entry.rise.outcomeUnknown();
            } else if (outcome == 2) {
                entry.ledger.refused(proposal);
                entry.ledger.witnesses().refused();
                entry.ledger.release().refused();
                entry.rise.refused();
            } else {
                commit(entry.box, proposal.row(), newMarks);
                entry.rise.confirmed();
                entry.ledger.setTimeSinceConfirmedWrite(nowMillis - start.localMillis());
                entry.ledger.confirmed(proposal);
                entry.ledger.witnesses().confirmed(namedWitnesses);
                entry.ledger.release().confirmed(releaseMillis);
            }
        }

        private LeaseShape shape() {
            return leaseSizingChanges && nowMillis / ROLE_CHANGE_MILLIS % 3 > 0
                    ? LeaseShape.FEW_HOLD
                    : LeaseShape.ALL_HOLD;
        }

        private void reclaim(Entry entry) {
            Optional<MarkRow> predecessorRow = Optional.ofNullable(marks.get(entry.box));
            Optional<PrepaidRow> changed = predecessorRow
                    .filter(each -> each.stayedWithinCaps(entry.startMillis, SILENCE_TIMEOUT_MILLIS - MARGIN_MILLIS))
                    .flatMap(each -> entry.ledger.reclaim(ACCOUNT, row, each, entry.startMillis));
            changed.ifPresent(
                    next -> checkReclaimed(predecessorRow.orElseThrow().incarnation(), next));
            commit(entry.box, changed, new MarkRow(entry.incarnation, 0, Map.of(), Set.of(), COVER_MILLIS));
            entry.predecessor = predecessorRow.filter(each -> changed.isEmpty());
            entry.reclaimed = true;
            entry.rise.proposed(new DurableCapRise.RiseStart(nowMillis, nowMillis));
            entry.rise.confirmed();
        }

        /** Checks that at least the tokens used by a dead incarnation are counted as used. */
        private void checkReclaimed(String incarnation, PrepaidRow changed) {
            long counted = changed.closed() - row.closed();
            long used = dead.get(incarnation).planClose(ACCOUNT, row).granted();
            assertThat(counted).as("tokens counted as used by %s", incarnation).isGreaterThanOrEqualTo(used);
        }

        private Set<String> chooseWitnesses(Entry entry) {
            if (!witnessed || random.nextInt(4) == 0) {
                return entry.ledger.witnesses().usable();
            }
            return entries.values().stream()
                    .filter(other -> other != entry && random.nextInt(3) > 0)
                    .map(other -> other.incarnation)
                    .collect(Collectors.toSet());
        }

        private void sendUsageReports(Entry entry) {
            if (!entry.ledger.needsUsageRecords() || random.nextInt(3) == 0) {
                return;
            }
            Map<String, Long> tokens = entry.ledger.tokensToRecord();
            for (String witness : entry.ledger.witnesses().usable()) {
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    long due = nowMillis + (random.nextInt(5) == 0 ? random.nextInt(8_000) : 0);
                    usageReports.add(new SentUsageReport(due, witness, entry, tokens));
                }
            }
        }

        private void deliverUsageReports() {
            for (SentUsageReport report : List.copyOf(usageReports)) {
                if (report.dueMillis > nowMillis) {
                    continue;
                }
                usageReports.remove(report);
                Optional<Entry> witness = alive(report.witness);
                boolean recorded = witness.isPresent()
                        && !linkDown(report.from, report.witness)
                        && witness.get().witnessRecords.add(report.from.incarnation, report.tokens);
                if (recorded && random.nextInt(5) > 0) {
                    report.from.ledger.addRecordedByWitness(report.witness, report.tokens);
                }
            }
        }

        private void askWitnesses(Entry entry) {
            Optional<MarkRow> predecessorRow = entry.predecessor;
            if (predecessorRow.isEmpty() || entry.cutOff) {
                return;
            }
            if (random.nextInt(WITHOUT_WITNESSES_ONE_IN) == 0) {
                reclaimWithoutWitnesses(entry, predecessorRow.get());
                return;
            }
            for (String witness : predecessorRow.get().witnesses()) {
                if (random.nextInt(3) == 0) {
                    alive(witness)
                            .ifPresent(each -> entry.witnessAnswers.put(
                                    witness,
                                    each.witnessRecords.close(
                                            predecessorRow.get().incarnation())));
                }
            }
            if (!predecessorRow.get().witnesses().isEmpty()
                    && entry.witnessAnswers
                            .keySet()
                            .containsAll(predecessorRow.get().witnesses())) {
                Map<String, Long> recorded = new HashMap<>();
                entry.witnessAnswers
                        .values()
                        .forEach(each -> each.forEach((account, tokens) -> recorded.merge(account, tokens, Math::max)));
                reclaimUnused(
                        entry,
                        predecessorRow.get(),
                        PrepaidLedger.reclaimUnrecorded(ACCOUNT, row, predecessorRow.get(), recorded));
            }
        }

        /** Reclaims tokens without the answers of the witnesses, also while witnesses could still answer. */
        private void reclaimWithoutWitnesses(Entry entry, MarkRow predecessorRow) {
            Optional<PrepaidRow> changed =
                    entry.ledger.reclaimUnreleased(ACCOUNT, row, predecessorRow, entry.startMillis);
            if (changed.isPresent()) {
                reclaimUnused(entry, predecessorRow, changed);
            }
        }

        private void reclaimUnused(Entry entry, MarkRow predecessorRow, Optional<PrepaidRow> reclaimedRow) {
            reclaimedRow.ifPresent(changed -> {
                checkReclaimed(predecessorRow.incarnation(), changed);
                version++;
                row = changed;
                rowVersion = version;
                reclaimedCount++;
            });
            entry.predecessor = Optional.empty();
        }

        /**
         * Returns whether the link from an entry to a witness is down; links alternate between up and down every few
         * seconds.
         */
        private boolean linkDown(Entry from, String witness) {
            long block = nowMillis / LINK_STATE_MILLIS;
            return Math.floorMod((from.incarnation + witness + block).hashCode(), 5) < 2;
        }

        private Optional<Entry> alive(String incarnation) {
            return entries.values().stream()
                    .filter(each -> each.incarnation.equals(incarnation))
                    .findFirst();
        }

        private void applyDelayedWrites() {
            for (DelayedWrite write : List.copyOf(delayedWrites)) {
                if (write.dueMillis > nowMillis) {
                    continue;
                }
                delayedWrites.remove(write);
                boolean rowUnchanged = write.row.isEmpty() || write.rowVersion == rowVersion;
                if (rowUnchanged && write.marksVersion == marksVersion(write.writer.box)) {
                    commit(write.writer.box, write.row, write.marks);
                }
            }
        }

        private void commit(int box, Optional<PrepaidRow> changed, MarkRow newMarks) {
            version++;
            changed.ifPresent(next -> {
                row = next;
                rowVersion = version;
            });
            marks.put(box, newMarks);
            marksVersions.put(box, version);
        }

        private long marksVersion(int box) {
            return marksVersions.getOrDefault(box, 0L);
        }
    }
}
