package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
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
    private static final long MARGIN_MILLIS = 200;
    private static final int SEEDS = 150;
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
        private long confirmedSentMillis;
        private boolean cutOff;

        private Entry(int box, String incarnation, long startMillis) {
            this.box = box;
            this.incarnation = incarnation;
            this.startMillis = startMillis;
            this.confirmedSentMillis = startMillis;
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
        private int incarnations;
        private boolean someBorrow;

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
            for (Entry entry : List.copyOf(entries.values())) {
                act(entry);
            }
        }

        private void act(Entry entry) {
            entry.book.sample(nowMillis);
            if (entry.reclaimed) {
                entry.book.storeSilentFor(nowMillis - entry.confirmedSentMillis);
            }
            serve(entry);
            int draw = random.nextInt(1_000);
            if (draw < 4) {
                entries.remove(entry.box);
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
                    borrower ? entry.book.planBorrower(ACCOUNT, row) : entry.book.plan(ACCOUNT, row, ENTRIES);
            entry.book.proposed(proposal);
            MarkRow newMarks =
                    new MarkRow(entry.incarnation, entry.confirmedSentMillis, Map.of(ACCOUNT, proposal.mark()));
            int fate = random.nextInt(10);
            if (fate == 0) {
                long due = nowMillis + random.nextInt(6_000);
                late.add(new LateWrite(due, rowVersion, marksVersion(entry.box), entry, proposal.row(), newMarks));
                entry.book.unanswered(proposal);
            } else if (fate == 1) {
                commit(entry.box, proposal.row(), newMarks);
                entry.book.unanswered(proposal);
            } else if (fate == 2) {
                entry.book.refused(proposal);
            } else {
                commit(entry.box, proposal.row(), newMarks);
                entry.confirmedSentMillis = nowMillis;
                entry.book.storeSilentFor(0);
                entry.book.confirmed(proposal);
            }
        }

        private void reclaim(Entry entry) {
            Optional<MarkRow> left = Optional.ofNullable(marks.get(entry.box));
            Optional<PrepaidRow> changed = left.filter(
                            each -> each.heldBy(entry.startMillis, PATIENCE_MILLIS - MARGIN_MILLIS))
                    .flatMap(each -> entry.book.reclaim(ACCOUNT, row, each, entry.startMillis));
            commit(entry.box, changed, new MarkRow(entry.incarnation, 0, Map.of()));
            entry.reclaimed = true;
            entry.confirmedSentMillis = nowMillis;
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
