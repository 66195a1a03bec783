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
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoredRow;

/**
 * Counts the live entries: each writes a row from time to time, and reads whose row still changes.
 *
 * <p>While the store is away the last count stands. An entry that stopped or fell silent keeps its row, as its box may
 * start another at the same address at any time. Confined to the event loop.
 */
public final class MemberRegister {
    private static final String TABLE = "streamring-members";
    private static final String STOPPED = "stopped ";
    private static final long BASE_MILLIS = 2_000;
    private static final long MILLIS_PER_ENTRY = 20;
    private static final int MISSED_BEATS = 3;
    /**
     * Readings of the table in which an entry's row did not change until it is surely gone, about two minutes. Readings
     * are counted, not time: after an outage of the store all rows are old.
     */
    private static final int READINGS_UNTIL_GONE = 45;

    private final EventLoop loop;
    private final RowStore store;
    private final RowKey ownKey;
    private final String incarnation;
    private final String ownAddress;
    private final Consumer<Others> onChange;
    private final LongSupplier clock;
    private final Map<String, Seen> seen = new HashMap<>();
    private long ownVersion;
    private int live = 1;
    private Set<String> mayLive = Set.of();
    private boolean stopping;

    private record Seen(long version, long changedMillis, String value, int readings) {
        Seen readAgain() {
            return new Seen(version, changedMillis, value, readings + 1);
        }

        boolean live(long oldestMillis) {
            return !value.startsWith(STOPPED) && changedMillis >= oldestMillis;
        }
    }

    /**
     * Another entry.
     *
     * @param name its name
     * @param address where it listens for others
     */
    public record Member(String name, InetSocketAddress address) {}

    /**
     * The other entries.
     *
     * @param live those that are alive
     * @param absent those that stopped or fell silent
     */
    public record Others(List<Member> live, List<Member> absent) {
        /** Copies the lists. */
        public Others {
            live = List.copyOf(live);
            absent = List.copyOf(absent);
        }
    }

    /**
     * Creates one; nothing happens before {@link #start}.
     *
     * @param peers where this entry listens for others
     * @param onChange told the other entries after each reading
     */
    public MemberRegister(
            EventLoop loop,
            RowStore store,
            String nodeName,
            String incarnation,
            InetSocketAddress peers,
            LongSupplier clock,
            Consumer<Others> onChange) {
        this.loop = loop;
        this.store = store;
        this.ownKey = new RowKey(TABLE, "", nodeName);
        this.incarnation = incarnation;
        this.ownAddress = peers.getAddress().getHostAddress() + ":" + peers.getPort();
        this.onChange = onChange;
        this.clock = clock;
    }

    /** Starts to write and read. */
    public void start() {
        refresh();
    }

    /** Entries that are alive, this one included. */
    public int live() {
        return live;
    }

    /** Names of the entries that may be alive, this one among them; empty before the table was read. */
    public Set<String> mayLive() {
        return mayLive;
    }

    private Set<String> namesThatMayLive() {
        Set<String> names = new HashSet<>(Set.of(ownKey.key()));
        seen.forEach((name, row) -> {
            if (row.readings() < READINGS_UNTIL_GONE) {
                names.add(name);
            }
        });
        return Set.copyOf(names);
    }

    /** Tells the others that this entry stops. */
    public void stop() {
        stopping = true;
        write(STOPPED + ownAddress);
    }

    private void refresh() {
        store.list(TABLE, "").whenComplete((page, failure) -> {
            if (failure == null) {
                take(page);
                if (!stopping) {
                    write(incarnation + " " + ownAddress);
                }
            }
            loop.schedule(this::refresh, interval(), TimeUnit.MILLISECONDS);
        });
    }

    private long interval() {
        return BASE_MILLIS + MILLIS_PER_ENTRY * live;
    }

    private void take(RowPage page) {
        long now = clock.getAsLong();
        for (StoredRow row : page.rows()) {
            if (row.key().equals(ownKey)) {
                ownVersion = row.version();
                continue;
            }
            Seen before = seen.get(row.key().key());
            if (before == null || before.version() != row.version()) {
                seen.put(row.key().key(), new Seen(row.version(), now, row.value(), 0));
            } else {
                seen.put(row.key().key(), before.readAgain());
            }
        }
        long oldest = now - interval() * MISSED_BEATS;
        Others others = new Others(members(each -> each.live(oldest)), members(each -> !each.live(oldest)));
        live = 1 + others.live().size();
        mayLive = namesThatMayLive();
        onChange.accept(others);
    }

    private List<Member> members(Predicate<Seen> which) {
        return seen.entrySet().stream()
                .filter(each -> which.test(each.getValue()))
                .flatMap(each ->
                        addressIn(each.getValue().value()).stream().map(address -> new Member(each.getKey(), address)))
                .toList();
    }

    private static Optional<InetSocketAddress> addressIn(String value) {
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
                ownVersion = result.version();
            }
        });
    }
}
