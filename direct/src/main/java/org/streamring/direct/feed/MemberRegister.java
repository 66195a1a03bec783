package org.streamring.direct.feed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;

/**
 * Determines which entries are live. Each entry writes its row periodically, and considers another entry live as long
 * as the row of that entry keeps changing.
 *
 * <p>During a store outage the last result remains in force. The row of an entry that stopped or became unresponsive is
 * kept, because its box may start a new entry at the same address at any time. Confined to the event loop.
 */
public final class MemberRegister {
    private static final String TABLE = "streamring-members";
    private static final String STOPPED = "stopped ";
    private static final long BASE_INTERVAL_MILLIS = 2_000;
    private static final long INTERVAL_MILLIS_PER_ENTRY = 20;
    /** First wait after a reading that failed before the table was read once; each further one is twice as long. */
    private static final long FIRST_RETRY_MILLIS = 250;

    private static final int MAX_MISSED_HEARTBEATS = 3;
    /**
     * Number of consecutive readings without a change of its row after which an entry is considered gone, about two
     * minutes. Readings are counted instead of time, because all rows are old after a store outage.
     */
    private static final int UNCHANGED_READINGS_UNTIL_GONE = 45;

    private final EventLoop loop;
    private final RowStore store;
    private final RowKey ownKey;
    private final String incarnation;
    private final String ownAddress;
    private final Consumer<OtherEntries> onChange;
    private final LongSupplier clock;
    private final Map<String, ObservedRow> observed = new HashMap<>();
    private long ownVersion;
    private long oldestLiveMillis = Long.MIN_VALUE;
    private long readMillis;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean ownRowWritten;
    private FleetShare.Start start = FleetShare.Start.JOINED;
    private int live = 1;
    private Set<String> possiblyLive = Set.of();
    private boolean stopping;

    private record ObservedRow(StorePosition position, long changedMillis, String value, int readings) {
        ObservedRow withUnchangedReading() {
            return new ObservedRow(position, changedMillis, value, readings + 1);
        }

        /** Returns this row at its position in a restored store; that the position differs is no heartbeat. */
        ObservedRow restoredAt(StorePosition restored) {
            return new ObservedRow(restored, changedMillis, value, readings);
        }

        boolean live(long oldestMillis) {
            return !value.startsWith(STOPPED) && changedMillis >= oldestMillis;
        }
    }

    /**
     * Another entry.
     *
     * @param name name of the entry
     * @param address address at which it accepts connections from other entries
     */
    public record Member(String name, InetSocketAddress address) {}

    /**
     * The other entries.
     *
     * @param live entries that are live
     * @param absent entries that stopped or became unresponsive
     */
    public record OtherEntries(List<Member> live, List<Member> absent) {
        /** Copies the lists. */
        public OtherEntries {
            live = List.copyOf(live);
            absent = List.copyOf(absent);
        }
    }

    /**
     * Creates a register; the store is not accessed before {@link #start}.
     *
     * @param peers address at which this entry accepts connections from other entries
     * @param onChange receives the other entries after each reading of the table
     */
    public MemberRegister(
            EventLoop loop,
            RowStore store,
            String nodeName,
            String incarnation,
            InetSocketAddress peers,
            LongSupplier clock,
            Consumer<OtherEntries> onChange) {
        this.loop = loop;
        this.store = store;
        this.ownKey = new RowKey(TABLE, "", nodeName);
        this.incarnation = incarnation;
        this.ownAddress = peers.getAddress().getHostAddress() + ":" + peers.getPort();
        this.onChange = onChange;
        this.clock = clock;
    }

    /** Starts to write the row of this entry and to read the table. */
    public void start() {
        refresh();
    }

    /** Returns the number of live entries including this one. */
    public int live() {
        return live;
    }

    /** Returns the names of the entries that may be live including this one; empty before the table has been read. */
    public Set<String> possiblyLive() {
        return possiblyLive;
    }

    /** Returns the number of entries that may be live, and when it was determined. */
    public FleetShare.View view() {
        return new FleetShare.View(possiblyLive.size(), clock.getAsLong() - readMillis, start);
    }

    private Set<String> namesOfPossiblyLive() {
        Set<String> names = new HashSet<>(Set.of(ownKey.key()));
        observed.forEach((name, row) -> {
            if (row.readings() < UNCHANGED_READINGS_UNTIL_GONE) {
                names.add(name);
            }
        });
        return Set.copyOf(names);
    }

    /** Writes to the row of this entry that it is stopping. */
    public void stop() {
        stopping = true;
        write(STOPPED + ownAddress);
    }

    private void refresh() {
        store.list(TABLE, "").whenComplete((page, failure) -> {
            if (failure == null) {
                boolean writtenBefore = ownRowWritten;
                handlePage(page);
                if (ownRowWritten && !writtenBefore) {
                    noteWhetherFirst();
                }
                if (!stopping) {
                    write(incarnation + " " + ownAddress);
                }
            }
            loop.schedule(this::refresh, untilNextReadingMillis(), TimeUnit.MILLISECONDS);
        });
    }

    /** Until it has read the table this entry knows no other one, and can neither borrow tokens nor ask for permits. */
    private long untilNextReadingMillis() {
        long interval = intervalMillis();
        if (!possiblyLive.isEmpty()) {
            return interval;
        }
        long delay = retryMillis;
        retryMillis = Math.min(2 * delay, interval);
        return delay;
    }

    private long intervalMillis() {
        return BASE_INTERVAL_MILLIS + INTERVAL_MILLIS_PER_ENTRY * live;
    }

    private void handlePage(RowPage page) {
        readMillis = clock.getAsLong();
        ownVersion = 0;
        for (StoredRow row : page.rows()) {
            if (row.key().equals(ownKey)) {
                handleOwnRow(row);
            } else {
                observe(row, new StorePosition(page.position().era(), row.version()));
            }
        }
        oldestLiveMillis = clock.getAsLong() - intervalMillis() * MAX_MISSED_HEARTBEATS;
        OtherEntries otherEntries = new OtherEntries(
                members(each -> each.live(oldestLiveMillis)), members(each -> !each.live(oldestLiveMillis)));
        live = 1 + otherEntries.live().size();
        possiblyLive = namesOfPossiblyLive();
        onChange.accept(otherEntries);
    }

    /** The row that a predecessor left has another incarnation. */
    private void handleOwnRow(StoredRow row) {
        ownVersion = row.version();
        if (row.value().startsWith(incarnation + " ")) {
            ownRowWritten = true;
        } else if (!ownRowWritten) {
            start = FleetShare.Start.RESTARTED;
        }
    }

    private void observe(StoredRow row, StorePosition position) {
        observed.compute(row.key().key(), (name, before) -> {
            if (before != null && before.position().equals(position)) {
                return before.withUnchangedReading();
            }
            if (before != null && before.position().era() < position.era() && !before.live(oldestLiveMillis)) {
                return before.restoredAt(position);
            }
            return new ObservedRow(position, clock.getAsLong(), row.value(), 0);
        });
    }

    private List<Member> members(Predicate<ObservedRow> which) {
        return observed.entrySet().stream()
                .filter(each -> which.test(each.getValue()))
                .flatMap(each -> parseAddress(each.getValue().value()).stream()
                        .map(address -> new Member(each.getKey(), address)))
                .toList();
    }

    private static Optional<InetSocketAddress> parseAddress(String value) {
        int space = value.indexOf(' ');
        int colon = value.lastIndexOf(':');
        if (space < 0 || colon < space) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(
                    value.substring(space + 1, colon), Integer.parseInt(value.substring(colon + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void write(String value) {
        store.commit(List.of(new RowChange(ownKey, ownVersion, value))).whenComplete((result, failure) -> {
            if (failure == null && result.committed()) {
                ownVersion = result.position().version();
                if (!ownRowWritten) {
                    ownRowWritten = true;
                    checkWhetherFirst();
                }
            }
        });
    }

    /** Reads the table after the first write of the own row. */
    private void checkWhetherFirst() {
        store.list(TABLE, "").whenComplete((page, failure) -> {
            if (failure == null) {
                handlePage(page);
                noteWhetherFirst();
            }
        });
    }

    /**
     * Called after a reading that follows the first write of the own row. Of processes that start at the same time, at
     * most one finds no other row then.
     */
    private void noteWhetherFirst() {
        boolean alone = observed.isEmpty() && start == FleetShare.Start.JOINED;
        start = alone ? FleetShare.Start.FIRST : start;
    }
}
