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
 * Tells all entries which requests ran where a server ended, and hears it from them: over connections, which also works
 * while the store is away, and by a row of each entry, which reaches those that aren't connected and tells what its box
 * saw before its last start. Confined to the event loop.
 */
public final class SuspectExchange implements TableWatch.Listener {
    /** Table of the rows, which are named by their entries. */
    public static final String TABLE = "streamring-suspects";

    /** A server's end breaks off many requests within a few milliseconds; they share a row. */
    private static final long SOON_MILLIS = 10;
    /** What can wait is told at this pace, and what the store did not take is written again. */
    private static final long TICK_MILLIS = 1_000;

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
    private boolean unwritten;
    private boolean tellingSoon;

    /** Creates one; nothing is written before {@link #start}. */
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

    /** Starts to tell and to listen. */
    public void start() {
        peers.listen(this::received);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Tells what is news, if there is any. */
    public void tellNews() {
        if (table.hasNews() && !tellingSoon) {
            tellingSoon = true;
            loop.schedule(this::tell, SOON_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tell() {
        tellingSoon = false;
        String report = codec.write(table.report());
        peers.tellAll(Frame.newBuilder()
                .setSuspectNews(SuspectNews.newBuilder().setReport(report))
                .build());
        unwritten = true;
        write();
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
        table.heard(report.get(), clock.getAsLong());
        tellNews();
    }

    private void tick() {
        table.expire(clock.getAsLong());
        write();
    }

    private void write() {
        boolean changed = unwritten || table.hasChanged();
        if (!changed || writing || !listed) {
            return;
        }
        writing = true;
        unwritten = false;
        String value = codec.write(table.report());
        store.commit(List.of(new RowChange(ownKey, ownVersion, value)))
                .whenComplete((result, failure) -> written(result, failure));
    }

    private void written(CommitResult result, Throwable failure) {
        writing = false;
        if (failure == null && result.committed()) {
            ownVersion = result.version();
            write();
            return;
        }
        unwritten = true;
        if (failure == null) {
            result.current().stream()
                    .filter(row -> row.key().equals(ownKey))
                    .forEach(row -> ownVersion = row.version());
        }
        log.line("suspects_not_told", "reason", failure == null ? "conflict" : String.valueOf(failure.getMessage()));
    }

    @Override
    public void listed(List<StoredRow> rows) {
        rows.forEach(this::hear);
        listed = true;
        tellNews();
    }

    @Override
    public void changed(StoredRow row) {
        hear(row);
        tellNews();
    }

    private void hear(StoredRow row) {
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
            table.heard(report.get(), clock.getAsLong());
        } else if (!listed) {
            table.resume(report.get(), clock.getAsLong());
        }
    }
}
