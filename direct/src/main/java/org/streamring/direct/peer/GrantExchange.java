package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.ledger.GrantCopies;
import org.streamring.direct.ledger.PrepaidRowCodec;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.kernel.store.EraCheckedStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.net.generated.Wire.AccountTokens;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.GrantNote;
import org.streamring.net.generated.Wire.GrantNoted;
import org.streamring.net.generated.Wire.KnownGrant;
import org.streamring.net.generated.Wire.KnownRow;
import org.streamring.net.generated.Wire.RowsQuery;
import org.streamring.net.generated.Wire.RowsReport;
import org.streamring.net.peer.PeerConnection;

/**
 * Keeps copies of other entries' grants and has them keep those of this entry, and exchanges what entries know of the
 * accounts' rows after the store was restored from an older copy. Entries of older versions take no part. Confined to
 * the event loop.
 */
public final class GrantExchange implements GrantCopies, EntryPeers.FrameListener {
    /** Two entries, because one may be lost together with this one; the answer of either suffices. */
    private static final int COPIES = 2;

    private static final long KEEP_TIMEOUT_MILLIS = 300;
    /** Live entries answer within milliseconds; those that are paused hold up the others for this long. */
    private static final long COLLECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final String ownName;
    private final EraCheckedStore store;
    private final AccountKnowledge knowledge;
    private final DecisionLog log;
    private final Set<String> participants = new HashSet<>();
    private final Map<Long, SentGrants> openNotes = new TreeMap<>();
    private final Map<Long, KnowledgeRequest> openQueries = new HashMap<>();
    private long nextNumber;

    /** Grants that were sent to other entries. */
    private record SentGrants(long era, CompletableFuture<Boolean> kept) {}

    /** Creates an exchange; frames are received after {@link #start}. */
    public GrantExchange(
            EventLoop loop,
            EntryPeers peers,
            String ownName,
            EraCheckedStore store,
            AccountKnowledge knowledge,
            DecisionLog log) {
        this.loop = loop;
        this.peers = peers;
        this.ownName = ownName;
        this.store = store;
        this.knowledge = knowledge;
        this.log = log;
    }

    /** Starts receiving frames of other entries. */
    public void start() {
        peers.listen(this);
    }

    @Override
    public CompletableFuture<Boolean> keep(Map<String, Long> grants, StorePosition position) {
        CompletableFuture<Boolean> kept = new CompletableFuture<>();
        Map<String, PeerConnection> connected = connectedParticipants();
        if (connected.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        long number = nextNumber++;
        GrantNote note = GrantNote.newBuilder()
                .setNumber(number)
                .setEra(position.era())
                .setVersion(position.version())
                .addAllTokens(encode(grants))
                .build();
        openNotes.put(number, new SentGrants(position.era(), kept));
        RendezvousHash.order(ownName, connected.keySet()).stream().limit(COPIES).forEach(name -> connected
                .get(name)
                .send(Frame.newBuilder().setGrantNote(note).build()));
        loop.schedule(() -> endNote(number, false), KEEP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return kept;
    }

    private static List<AccountTokens> encode(Map<String, Long> grants) {
        return grants.entrySet().stream()
                .map(each -> AccountTokens.newBuilder()
                        .setAccount(each.getKey())
                        .setTokens(each.getValue())
                        .build())
                .toList();
    }

    /**
     * Ends the wait for an entry that keeps the grants. An answer does not count if this entry has learned of a later
     * era meanwhile, because the others may have restored the rows already.
     */
    private void endNote(long number, boolean answered) {
        SentGrants sent = openNotes.remove(number);
        if (sent != null) {
            sent.kept().complete(answered && sent.era() == store.era());
        }
    }

    @Override
    public CompletableFuture<Integer> collect() {
        KnowledgeRequest collection = new KnowledgeRequest();
        connectedParticipants().values().forEach(collection::ask);
        loop.schedule(collection::end, COLLECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        collection.endIfComplete();
        return collection.result;
    }

    private Map<String, PeerConnection> connectedParticipants() {
        Map<String, PeerConnection> connected = peers.byEntry();
        connected.values().removeIf(peer -> !participants.contains(peer.remote().incarnation()));
        return connected;
    }

    /** Tells the other entry that this one takes part, and asks whether it does. */
    @Override
    public void connected(PeerConnection connection) {
        sendQuery(connection, nextNumber++, false);
    }

    private void sendQuery(PeerConnection connection, long number, boolean wantsRows) {
        RowsQuery query = RowsQuery.newBuilder()
                .setNumber(number)
                .setEra(store.era())
                .setWantsRows(wantsRows)
                .build();
        connection.send(Frame.newBuilder().setRowsQuery(query).build());
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        if (frame.hasGrantNote()) {
            keepCopy(connection, frame.getGrantNote());
        }
        if (frame.hasGrantNoted()) {
            endNote(frame.getGrantNoted().getNumber(), true);
        }
        if (frame.hasRowsQuery()) {
            participants.add(connection.remote().incarnation());
            store.observe(frame.getRowsQuery().getEra());
            answer(connection, frame.getRowsQuery());
        }
        if (frame.hasRowsReport()) {
            participants.add(connection.remote().incarnation());
            store.observe(frame.getRowsReport().getEra());
            add(connection, frame.getRowsReport());
        }
    }

    /** Keeps grants unless they are of an older era, whose grants the entries may have exchanged already. */
    private void keepCopy(PeerConnection connection, GrantNote note) {
        store.observe(note.getEra());
        if (note.getEra() < store.era()) {
            return;
        }
        StorePosition position = new StorePosition(note.getEra(), note.getVersion());
        String holder = connection.remote().incarnation();
        note.getTokensList()
                .forEach(each -> knowledge.addGrant(
                        each.getAccount(), holder, new AccountKnowledge.KnownGrant(position, each.getTokens())));
        GrantNoted noted = GrantNoted.newBuilder().setNumber(note.getNumber()).build();
        connection.send(Frame.newBuilder().setGrantNoted(noted).build());
    }

    private void answer(PeerConnection connection, RowsQuery query) {
        RowsReport.Builder report =
                RowsReport.newBuilder().setNumber(query.getNumber()).setEra(store.era());
        if (query.getWantsRows()) {
            knowledge.rows().forEach((account, row) -> report.addRows(encode(account, row)));
            knowledge
                    .grants()
                    .forEach((account, grants) -> grants.forEach(
                            (incarnation, grant) -> report.addGrants(encode(account, incarnation, grant))));
        }
        connection.send(Frame.newBuilder().setRowsReport(report).build());
    }

    private static KnownRow encode(String account, AccountKnowledge.KnownRow row) {
        return KnownRow.newBuilder()
                .setAccount(account)
                .setEra(row.position().era())
                .setVersion(row.position().version())
                .setText(PrepaidRowCodec.write(row.row()))
                .build();
    }

    private static KnownGrant encode(String account, String incarnation, AccountKnowledge.KnownGrant grant) {
        return KnownGrant.newBuilder()
                .setAccount(account)
                .setIncarnation(incarnation)
                .setEra(grant.position().era())
                .setVersion(grant.position().version())
                .setTokens(grant.tokens())
                .build();
    }

    private void add(PeerConnection connection, RowsReport report) {
        for (KnownRow each : report.getRowsList()) {
            StorePosition position = new StorePosition(each.getEra(), each.getVersion());
            Optional<PrepaidRow> row = PrepaidRowCodec.read(each.getText());
            row.ifPresentOrElse(
                    read -> knowledge.addRow(each.getAccount(), new AccountKnowledge.KnownRow(position, read)),
                    () -> log.line(
                            "frame_unreadable", "peer", connection.remote().name()));
        }
        for (KnownGrant each : report.getGrantsList()) {
            StorePosition position = new StorePosition(each.getEra(), each.getVersion());
            knowledge.addGrant(
                    each.getAccount(),
                    each.getIncarnation(),
                    new AccountKnowledge.KnownGrant(position, each.getTokens()));
        }
        Optional.ofNullable(openQueries.remove(report.getNumber())).ifPresent(KnowledgeRequest::answered);
    }

    /** Answers of other entries that are waited for. */
    private final class KnowledgeRequest {
        private final CompletableFuture<Integer> result = new CompletableFuture<>();
        private int asked;
        private int answered;

        private void ask(PeerConnection peer) {
            long number = nextNumber++;
            asked++;
            openQueries.put(number, this);
            sendQuery(peer, number, true);
        }

        private void answered() {
            answered++;
            endIfComplete();
        }

        private void endIfComplete() {
            if (answered == asked) {
                end();
            }
        }

        private void end() {
            openQueries.values().removeIf(each -> each == this);
            result.complete(answered);
        }
    }
}
