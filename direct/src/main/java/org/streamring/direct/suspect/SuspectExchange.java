package org.streamring.direct.suspect;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.direct.feed.TableWatch;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.peer.EntryPeers;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoredRow;
import org.streamring.kernel.suspect.SuspectReport;
import org.streamring.kernel.suspect.SuspectTable;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.SuspectNews;
import org.streamring.net.peer.PeerConnection;

/**
 * Exchanges reports with the other entries about requests that were running on a server when its process ended.
 *
 * <p>New observations are sent over the connections between entries, which works during a store outage as well. Each
 * entry also writes all of its observations to its own row in the store. The row reaches entries that are not
 * connected, and restores what the entry observed on its box before its last restart. An entry that connects is sent
 * the crashes of all blocked suspects, as it may have restarted during a store outage, and what the store hasn't taken
 * yet, as nobody else may know it. Confined to the event loop.
 */
public final class SuspectExchange implements TableWatch.Listener {
    /** Table that holds one row per entry; the key of a row is the name of the entry. */
    public static final String TABLE = "streamring-suspects";

    /**
     * Delay before a report is sent. When a server process ends, many requests break within a few milliseconds; they
     * are sent in one report.
     */
    private static final long REPORT_DELAY_MILLIS = 10;
    /** Interval at which less urgent changes are written, and failed writes are repeated. */
    private static final long TICK_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final RowStore store;
    private final EntryPeers peers;
    private final RowKey ownKey;
    private final SuspectTable table;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final SuspectRowCodec codec = new SuspectRowCodec();
    private long ownVersion;
    private boolean listed;
    private boolean writing;
    private boolean writePending;
    private boolean reportScheduled;

    /** Creates an exchange; nothing is written before {@link #start}. */
    public SuspectExchange(
            EventLoop loop,
            RowStore store,
            EntryPeers peers,
            String nodeName,
            SuspectTable table,
            LongSupplier clock,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.peers = peers;
        this.ownKey = new RowKey(TABLE, "", nodeName);
        this.table = table;
        this.clock = clock;
        this.log = log;
    }

    /** Starts to send and receive reports. */
    public void start() {
        peers.listen(new EntryPeers.FrameListener() {
            @Override
            public void received(PeerConnection connection, Frame frame) {
                SuspectExchange.this.received(connection, frame);
            }

            @Override
            public void connected(PeerConnection connection) {
                SuspectReport blocked = table.blockedSuspects();
                if (!blocked.isEmpty()) {
                    connection.send(frameOf(blocked));
                }
                sendUnwritten(connection);
            }
        });
        loop.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendUnwritten(PeerConnection connection) {
        writePending |= table.hasChanged();
        if (!writePending && !writing) {
            return;
        }
        SuspectReport own = table.report();
        if (!own.isEmpty()) {
            connection.send(frameOf(own));
        }
    }

    /** Schedules a report to the other entries if there are changes that have to be sent at once. */
    public void scheduleReport() {
        if (table.hasUnsent() && !reportScheduled) {
            reportScheduled = true;
            loop.schedule(this::sendReport, REPORT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendReport() {
        reportScheduled = false;
        peers.sendToAll(frameOf(table.takeUnsent()));
        writePending = true;
        write();
    }

    private Frame frameOf(SuspectReport report) {
        return Frame.newBuilder()
                .setSuspectNews(SuspectNews.newBuilder().setReport(codec.write(report)))
                .build();
    }

    private void received(PeerConnection connection, Frame frame) {
        if (!frame.hasSuspectNews()) {
            return;
        }
        Optional<SuspectReport> report = codec.read(frame.getSuspectNews().getReport());
        if (report.isEmpty()) {
            log.line("frame_unreadable", "peer", connection.remote().name());
            return;
        }
        table.merge(report.get(), clock.getAsLong());
        scheduleReport();
    }

    private void tick() {
        table.expire(clock.getAsLong());
        write();
    }

    private void write() {
        boolean changed = writePending || table.hasChanged();
        if (!changed || writing || !listed) {
            return;
        }
        writing = true;
        writePending = false;
        String value = codec.write(table.report());
        store.commit(List.of(new RowChange(ownKey, ownVersion, value)))
                .whenComplete((result, failure) -> written(result, failure));
    }

    private void written(CommitResult result, Throwable failure) {
        writing = false;
        if (failure == null && result.committed()) {
            ownVersion = result.position().version();
            write();
            return;
        }
        writePending = true;
        if (failure == null) {
            ownVersion = result.current().stream()
                    .filter(row -> row.key().equals(ownKey))
                    .findFirst()
                    .map(StoredRow::version)
                    .orElse(0L);
        }
        log.line("suspects_not_told", "reason", failure == null ? "conflict" : String.valueOf(failure.getMessage()));
    }

    @Override
    public void onList(List<StoredRow> rows) {
        rows.forEach(this::readRow);
        listed = true;
        scheduleReport();
    }

    /** Writes the row of this entry again, which the restored store may have lost. */
    @Override
    public void onRestoredList(List<StoredRow> rows) {
        ownVersion = 0;
        onList(rows);
        writePending = true;
        write();
    }

    @Override
    public void onChange(StoredRow row) {
        readRow(row);
        scheduleReport();
    }

    private void readRow(StoredRow row) {
        if (row.removed()) {
            return;
        }
        boolean own = row.key().equals(ownKey);
        if (own) {
            ownVersion = Math.max(ownVersion, row.version());
        }
        Optional<SuspectReport> report = codec.read(row.value());
        if (report.isEmpty()) {
            log.line("row_unreadable", "table", TABLE, "row", row.key().key());
        } else if (!own) {
            table.merge(report.get(), clock.getAsLong());
        } else if (!listed) {
            table.resume(report.get(), clock.getAsLong());
        }
    }
}
