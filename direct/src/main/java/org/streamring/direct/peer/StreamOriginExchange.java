package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.kernel.stream.StreamOriginTable;
import org.streamring.kernel.stream.StreamOriginTable.RecordedOrigin;
import org.streamring.net.generated.Wire;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.OriginNote;
import org.streamring.net.generated.Wire.OriginQuery;
import org.streamring.net.generated.Wire.OriginReport;
import org.streamring.net.peer.PeerConnection;

/**
 * Tells other entries where streams of this entry began, and asks them about streams that callers resume here. Confined
 * to the event loop.
 */
public final class StreamOriginExchange {
    /**
     * Number of entries that are told of each stream. If half of the entries are lost at once, those that were told of
     * a stream are all among them in one of eight cases.
     */
    static final int WITNESS_COUNT = 3;

    /** Time after which entries that have not answered are no longer waited for. */
    static final long ANSWER_TIMEOUT_MILLIS = 200;

    /** Caps the time for which origins are kept, as callers may send any deadline. */
    private static final long MAX_LIFE_MILLIS = 600_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final HomeEntries homeEntries;
    private final StreamOriginTable table = new StreamOriginTable(StreamOriginTable.DEFAULT_CAPACITY);
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final Map<Long, Query> pendingQueries = new HashMap<>();
    private long nextQuery;

    /**
     * Origin of a stream as this entry knows it.
     *
     * @param knownBy name of the entry that knew it; {@code self} for this one
     * @param ageMillis time for which that entry has known it
     */
    public record KnownOrigin(StreamOrigin origin, String knownBy, long ageMillis) {}

    private final class Query {
        private final String stream;
        private final Consumer<Optional<KnownOrigin>> onAnswer;
        private final Future<?> timeout;
        private int unanswered;

        Query(long number, String stream, int asked, Consumer<Optional<KnownOrigin>> onAnswer) {
            this.stream = stream;
            this.onAnswer = onAnswer;
            this.unanswered = asked;
            this.timeout = loop.schedule(() -> timedOut(number), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        void end(Optional<KnownOrigin> origin) {
            timeout.cancel(false);
            onAnswer.accept(origin);
        }
    }

    /** Creates an exchange; nothing is received before {@link #start}. */
    public StreamOriginExchange(
            EventLoop loop, EntryPeers peers, HomeEntries homeEntries, LongSupplier clock, EntryMetrics metrics) {
        this.loop = loop;
        this.peers = peers;
        this.homeEntries = homeEntries;
        this.clock = clock;
        this.metrics = metrics;
        metrics.gauge("stream.origins", table::size);
        metrics.gauge("stream.origins.dropped", table::dropped);
    }

    /** Starts receiving frames of other entries. */
    public void start() {
        peers.listen(this::received);
    }

    /**
     * Records where a stream begins and tells other entries. Has to be called before the first event is passed on, so
     * that the frames leave this box before the event does.
     *
     * @param stream identifier of the request that brings the first event
     * @param callerWaitMillis time for which the caller may resume the stream
     */
    public void began(String stream, StreamOrigin origin, long callerWaitMillis) {
        long life = Math.min(callerWaitMillis, MAX_LIFE_MILLIS);
        if (!table.record(stream, origin, life, clock.getAsLong())) {
            return;
        }
        OriginNote note = OriginNote.newBuilder()
                .setStream(stream)
                .setOrigin(encode(origin))
                .setLifeMillis(life)
                .build();
        Frame frame = Frame.newBuilder().setOriginNote(note).build();
        witnesses(stream).forEach(witness -> witness.send(frame));
    }

    /** Chooses among the entries to which all others are connected, so that any entry can ask them. */
    private List<PeerConnection> witnesses(String stream) {
        Map<String, PeerConnection> connected = peers.byEntry();
        List<String> reachableByAll = connected.keySet().stream()
                .filter(homeEntries.holders()::contains)
                .toList();
        Collection<String> candidates = reachableByAll.isEmpty() ? connected.keySet() : reachableByAll;
        return RendezvousHash.order(stream, candidates).stream()
                .limit(WITNESS_COUNT)
                .map(connected::get)
                .toList();
    }

    /**
     * Finds out where a stream began, from this entry's own records or from other entries.
     *
     * @param onAnswer receives the origin, or empty if no entry that answers in time knows it; called once, at once if
     *     the origin is recorded here
     */
    public void find(String stream, Consumer<Optional<KnownOrigin>> onAnswer) {
        long now = clock.getAsLong();
        Optional<RecordedOrigin> recorded = table.find(stream, now);
        Collection<PeerConnection> connected = peers.byEntry().values();
        if (recorded.isPresent() || stream.isEmpty() || connected.isEmpty()) {
            onAnswer.accept(recorded.map(each -> new KnownOrigin(each.origin(), "self", now - each.recordedMillis())));
            return;
        }
        long number = nextQuery++;
        pendingQueries.put(number, new Query(number, stream, connected.size(), onAnswer));
        OriginQuery query =
                OriginQuery.newBuilder().setQuery(number).setStream(stream).build();
        Frame frame = Frame.newBuilder().setOriginQuery(query).build();
        connected.forEach(peer -> peer.send(frame));
    }

    /** Returns the number of known streams that a software version of a service began. */
    public int count(String service, String softwareVersion) {
        return table.count(service, softwareVersion);
    }

    /** Drops the origins of streams that can no longer be resumed. */
    public void expire() {
        table.expire(clock.getAsLong());
    }

    private void timedOut(long number) {
        Query query = pendingQueries.remove(number);
        if (query != null) {
            metrics.originQueryTimedOut();
            query.end(Optional.empty());
        }
    }

    private void received(PeerConnection connection, Frame frame) {
        if (frame.hasOriginNote()) {
            OriginNote note = frame.getOriginNote();
            record(note.getStream(), note.getOrigin(), note.getLifeMillis());
        } else if (frame.hasOriginQuery()) {
            answer(connection, frame.getOriginQuery());
        } else if (frame.hasOriginReport()) {
            reported(connection.remote().name(), frame.getOriginReport());
        }
    }

    private void record(String stream, Wire.StreamOrigin origin, long lifeMillis) {
        table.record(stream, decode(origin), Math.min(lifeMillis, MAX_LIFE_MILLIS), clock.getAsLong());
    }

    private void answer(PeerConnection connection, OriginQuery query) {
        long now = clock.getAsLong();
        OriginReport.Builder report = OriginReport.newBuilder().setQuery(query.getQuery());
        table.find(query.getStream(), now).ifPresent(recorded -> report.setOrigin(encode(recorded.origin()))
                .setAgeMillis(now - recorded.recordedMillis())
                .setLifeMillis(recorded.expiresMillis() - now));
        connection.send(Frame.newBuilder().setOriginReport(report).build());
    }

    private void reported(String entry, OriginReport report) {
        Query query = pendingQueries.get(report.getQuery());
        if (query == null) {
            return;
        }
        if (report.hasOrigin()) {
            pendingQueries.remove(report.getQuery());
            record(query.stream, report.getOrigin(), report.getLifeMillis());
            query.end(Optional.of(new KnownOrigin(decode(report.getOrigin()), entry, report.getAgeMillis())));
            return;
        }
        query.unanswered--;
        if (query.unanswered == 0) {
            pendingQueries.remove(report.getQuery());
            query.end(Optional.empty());
        }
    }

    private static Wire.StreamOrigin encode(StreamOrigin origin) {
        return Wire.StreamOrigin.newBuilder()
                .setService(origin.service())
                .setSoftwareVersion(origin.softwareVersion())
                .setAccount(origin.account())
                .build();
    }

    private static StreamOrigin decode(Wire.StreamOrigin origin) {
        return new StreamOrigin(origin.getService(), origin.getSoftwareVersion(), origin.getAccount());
    }
}
