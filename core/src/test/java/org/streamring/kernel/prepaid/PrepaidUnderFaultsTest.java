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
 * Entries over one account's row while answers get lost, writes come late, entries are cut off, killed and succeeded:
 * never is more spent than the row says, nor the row over the limit, whatever the order of events.
 */
public class PrepaidUnderFaultsTest {
    private static final String ACCOUNT = "portal";
    private static final long LIMIT = 400_000;
    private static final int ENTRIES = 3;
    private static final int STEPS = 4_000;
    private static final long STEP_MILLIS = 100;
    private static final long PATIENCE_MILLIS =
            PrepaidSettings.DEFAULT.patience().toMillis();
    private static final long COVER_MILLIS = PrepaidSettings.DEFAULT.cover().toMillis();
    private static final long MARGIN_MILLIS = 200;
    private static final int SEEDS = 150;
    /** Successors give their predecessor's witnesses up as often as this. */
    private static final int UNHEARD_ONE_IN = 10;

    private static final long LINK_MILLIS = 8_000;
    /** Entries change their roles, as the fleet does. */
    private static final long ROLE_MILLIS = 20_000;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void neverIsMoreSpentThanTheLimit(int seed) {
        World world = new World(seed);
        for (int step = 0; step < STEPS; step++) {
            world.step();
            assertThat(world.spent).as("step %d", step).isLessThanOrEqualTo(world.row.used());
            assertThat(world.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
        assertThat(world.spent).as("most of the limit is of use").isGreaterThan(LIMIT / 4);
    }

    @Test(dataProvider = "seeds")
    public void neverIsMoreSpentWhereSomeEntriesOnlyBorrow(int seed) {
        World world = new World(seed);
        world.someBorrow = true;
        for (int step = 0; step < STEPS; step++) {
            world.step();
            assertThat(world.spent).as("step %d", step).isLessThanOrEqualTo(world.row.used());
            assertThat(world.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
    }

    @Test(dataProvider = "seeds")
    public void neverIsMoreSpentWhereOthersWitnessWhatIsUsed(int seed) {
        World world = new World(seed);
        world.witnessed = true;
        for (int step = 0; step < STEPS; step++) {
            world.step();
            assertThat(world.spent).as("step %d", step).isLessThanOrEqualTo(world.row.used());
            assertThat(world.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
        assertThat(world.spent).as("most of the limit is of use").isGreaterThan(LIMIT / 3);
    }

    @Test(dataProvider = "seeds")
    public void neverIsMoreSpentWhereLeasesChangeTheirShape(int seed) {
        World world = new World(seed);
        world.witnessed = true;
        world.someBorrow = true;
        world.shapesChange = true;
        for (int step = 0; step < STEPS; step++) {
            world.step();
            assertThat(world.spent).as("step %d", step).isLessThanOrEqualTo(world.row.used());
            assertThat(world.row.used()).as("held in step %d", step).isLessThanOrEqualTo(LIMIT);
        }
    }

    /** A note on its way to a witness; it may come late, twice or never. */
    private record SentNote(long dueMillis, String witness, Entry from, Map<String, Long> tokens) {}

    private static final class LateWrite {
        private final long dueMillis;
        private final long rowVersion;
        private final long marksVersion;
        private final Entry writer;
        private final Optional<PrepaidRow> row;
        private final MarkRow marks;

        private LateWrite(
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
        private final PrepaidBook book;
        private final long startMillis;
        private boolean reclaimed;
        private final DurableRise rise = new DurableRise();
        private boolean cutOff;
        private final WitnessNotes kept = new WitnessNotes();
        private Optional<MarkRow> predecessor = Optional.empty();
        private final Map<String, Map<String, Long>> reports = new HashMap<>();

        private Entry(int box, String incarnation, long startMillis) {
            this.box = box;
            this.incarnation = incarnation;
            this.startMillis = startMillis;
            this.book = new PrepaidBook(incarnation, PrepaidSettings.DEFAULT);
        }
    }

    private static final class World {
        private final Random random;
        private final Map<Integer, Entry> entries = new HashMap<>();
        private final Map<Integer, MarkRow> marks = new HashMap<>();
        private final Map<Integer, Long> marksVersions = new HashMap<>();
        private final List<LateWrite> late = new ArrayList<>();
        private PrepaidRow row = PrepaidRow.EMPTY.withLimit(LIMIT, 1);
        private long version = 1;
        private long rowVersion = 1;
        private long nowMillis;
        private long spent;
        private int takenBack;
        private int incarnations;
        private boolean someBorrow;
        private boolean witnessed;
        /** Whether the fleet grows and shrinks, so that leases change their shape. */
        private boolean shapesChange;

        private final Map<String, PrepaidBook> dead = new HashMap<>();
        private final List<SentNote> notes = new ArrayList<>();

        private World(int seed) {
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
            applyLateWrites();
            deliverNotes();
            for (Entry entry : List.copyOf(entries.values())) {
                act(entry);
            }
        }

        private void act(Entry entry) {
            entry.book.sample(nowMillis);
            if (entry.reclaimed) {
                entry.book.storeSilentFor(
                        nowMillis - entry.rise.usable().localMillis(),
                        nowMillis - entry.rise.inForce().localMillis());
            }
            sendNotes(entry);
            askWitnesses(entry);
            serve(entry);
            int draw = random.nextInt(1_000);
            if (draw < 4) {
                entries.remove(entry.box);
                dead.put(entry.incarnation, entry.book);
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
            if (entry.book.reserve(ACCOUNT, tokens) == PrepaidBook.Outcome.RESERVED) {
                long used = random.nextInt((int) tokens + 1);
                spent += used;
                entry.book.settle(ACCOUNT, tokens, used);
                return;
            }
            Entry lender = entries.get(random.nextInt(ENTRIES));
            if (lender != entry) {
                long lent = lender.book.lend(ACCOUNT, tokens);
                boolean arrives = random.nextInt(10) > 0;
                entry.book.borrow(ACCOUNT, arrives ? lent : 0);
            }
        }

        private void write(Entry entry) {
            if (!entry.reclaimed) {
                reclaim(entry);
                return;
            }
            boolean borrower = someBorrow && (entry.box + nowMillis / ROLE_MILLIS) % 2 == 0;
            PrepaidBook.Proposal proposal =
                    borrower ? entry.book.planBorrower(ACCOUNT, row) : entry.book.plan(ACCOUNT, row, ENTRIES, shape());
            entry.book.proposed(proposal);
            Set<String> named = chooseWitnesses(entry);
            entry.book.witnesses().proposed(named);
            long releaseMillis = shape().release().toMillis();
            entry.book.release().proposed(releaseMillis);
            DurableRise.RiseStart start = entry.rise.proposed(new DurableRise.RiseStart(nowMillis, nowMillis));
            MarkRow newMarks = new MarkRow(
                    entry.incarnation, start.storeMillis(), Map.of(ACCOUNT, proposal.mark()), named, releaseMillis);
            int fate = random.nextInt(10);
            if (fate == 0) {
                long due = nowMillis + random.nextInt(6_000);
                late.add(new LateWrite(due, rowVersion, marksVersion(entry.box), entry, proposal.row(), newMarks));
                entry.book.unanswered(proposal);
                entry.book.witnesses().unanswered();
                entry.book.release().unanswered();
                entry.rise.unanswered();
            } else if (fate == 1) {
                commit(entry.box, proposal.row(), newMarks);
                entry.book.unanswered(proposal);
                entry.book.witnesses().unanswered();
                entry.book.release().unanswered();
                entry.rise.unanswered();
            } else if (fate == 2) {
                entry.book.refused(proposal);
                entry.book.witnesses().refused();
                entry.book.release().refused();
                entry.rise.refused();
            } else {
                commit(entry.box, proposal.row(), newMarks);
                entry.rise.confirmed();
                entry.book.storeSilentFor(nowMillis - start.localMillis());
                entry.book.confirmed(proposal);
                entry.book.witnesses().confirmed(named);
                entry.book.release().confirmed(releaseMillis);
            }
        }

        private LeaseShape shape() {
            return shapesChange && nowMillis / ROLE_MILLIS % 3 > 0 ? LeaseShape.FEW_HOLD : LeaseShape.ALL_HOLD;
        }

        private void reclaim(Entry entry) {
            Optional<MarkRow> left = Optional.ofNullable(marks.get(entry.box));
            Optional<PrepaidRow> changed = left.filter(
                            each -> each.heldBy(entry.startMillis, PATIENCE_MILLIS - MARGIN_MILLIS))
                    .flatMap(each -> entry.book.reclaim(ACCOUNT, row, each, entry.startMillis));
            changed.ifPresent(next -> checkTakenBack(left.orElseThrow().incarnation(), next));
            commit(entry.box, changed, new MarkRow(entry.incarnation, 0, Map.of(), Set.of(), COVER_MILLIS));
            entry.predecessor = left.filter(each -> changed.isEmpty());
            entry.reclaimed = true;
            entry.rise.proposed(new DurableRise.RiseStart(nowMillis, nowMillis));
            entry.rise.confirmed();
        }

        /** What counts as used of a dead incarnation is never less than what it used. */
        private void checkTakenBack(String incarnation, PrepaidRow changed) {
            long counted = changed.closed() - row.closed();
            long used = dead.get(incarnation).planClose(ACCOUNT, row).granted();
            assertThat(counted).as("counted of %s", incarnation).isGreaterThanOrEqualTo(used);
        }

        private Set<String> chooseWitnesses(Entry entry) {
            if (!witnessed || random.nextInt(4) == 0) {
                return entry.book.witnesses().usable();
            }
            return entries.values().stream()
                    .filter(other -> other != entry && random.nextInt(3) > 0)
                    .map(other -> other.incarnation)
                    .collect(Collectors.toSet());
        }

        private void sendNotes(Entry entry) {
            if (!entry.book.needsNotes() || random.nextInt(3) == 0) {
                return;
            }
            Map<String, Long> tokens = entry.book.wantedNotes();
            for (String witness : entry.book.witnesses().usable()) {
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    long due = nowMillis + (random.nextInt(5) == 0 ? random.nextInt(8_000) : 0);
                    notes.add(new SentNote(due, witness, entry, tokens));
                }
            }
        }

        private void deliverNotes() {
            for (SentNote note : List.copyOf(notes)) {
                if (note.dueMillis > nowMillis) {
                    continue;
                }
                notes.remove(note);
                Optional<Entry> witness = alive(note.witness);
                boolean kept = witness.isPresent()
                        && !linkDown(note.from, note.witness)
                        && witness.get().kept.note(note.from.incarnation, note.tokens);
                if (kept && random.nextInt(5) > 0) {
                    note.from.book.noted(note.witness, note.tokens);
                }
            }
        }

        private void askWitnesses(Entry entry) {
            Optional<MarkRow> left = entry.predecessor;
            if (left.isEmpty() || entry.cutOff) {
                return;
            }
            if (random.nextInt(UNHEARD_ONE_IN) == 0) {
                takeBackUnheard(entry, left.get());
                return;
            }
            for (String witness : left.get().witnesses()) {
                if (random.nextInt(3) == 0) {
                    alive(witness)
                            .ifPresent(each -> entry.reports.put(
                                    witness, each.kept.close(left.get().incarnation())));
                }
            }
            if (!left.get().witnesses().isEmpty()
                    && entry.reports.keySet().containsAll(left.get().witnesses())) {
                Map<String, Long> noted = new HashMap<>();
                entry.reports
                        .values()
                        .forEach(each -> each.forEach((account, tokens) -> noted.merge(account, tokens, Math::max)));
                takeBack(entry, left.get(), PrepaidBook.reclaimNoted(ACCOUNT, row, left.get(), noted));
            }
        }

        /** At any time, also while witnesses could still tell. */
        private void takeBackUnheard(Entry entry, MarkRow left) {
            Optional<PrepaidRow> changed = entry.book.reclaimReleased(ACCOUNT, row, left, entry.startMillis);
            if (changed.isPresent()) {
                takeBack(entry, left, changed);
            }
        }

        private void takeBack(Entry entry, MarkRow left, Optional<PrepaidRow> taken) {
            taken.ifPresent(changed -> {
                checkTakenBack(left.incarnation(), changed);
                version++;
                row = changed;
                rowVersion = version;
                takenBack++;
            });
            entry.predecessor = Optional.empty();
        }

        /** A link from an entry to a witness is down for some seconds, then up again. */
        private boolean linkDown(Entry from, String witness) {
            long block = nowMillis / LINK_MILLIS;
            return Math.floorMod((from.incarnation + witness + block).hashCode(), 5) < 2;
        }

        private Optional<Entry> alive(String incarnation) {
            return entries.values().stream()
                    .filter(each -> each.incarnation.equals(incarnation))
                    .findFirst();
        }

        private void applyLateWrites() {
            for (LateWrite write : List.copyOf(late)) {
                if (write.dueMillis > nowMillis) {
                    continue;
                }
                late.remove(write);
                boolean rowHolds = write.row.isEmpty() || write.rowVersion == rowVersion;
                if (rowHolds && write.marksVersion == marksVersion(write.writer.box)) {
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
