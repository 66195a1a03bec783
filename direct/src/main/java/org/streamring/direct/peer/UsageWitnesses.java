package org.streamring.direct.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.streamring.direct.ledger.Witnesses;
import org.streamring.kernel.prepaid.WitnessRecords;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.net.generated.Wire.AccountTokens;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.UseNote;
import org.streamring.net.generated.Wire.UseNoted;
import org.streamring.net.generated.Wire.UseQuery;
import org.streamring.net.generated.Wire.UseReport;
import org.streamring.net.peer.PeerConnection;

/**
 * Exchanges usage records with the witnesses of this entry, and keeps usage records of other entries. Records cover the
 * use of tokens during a store outage. Each one is attributed to the incarnation that the handshake of the connection
 * authenticated. Confined to the event loop.
 */
public final class UsageWitnesses implements Witnesses {
    /**
     * Two witnesses, because one may be lost together with the entry. With more, more of them would have to be alive
     * and be queried later.
     */
    private static final int WITNESS_COUNT = 2;

    private static final int MAX_UNACKNOWLEDGED = 1_000;

    private final EntryPeers peers;
    private final String ownName;
    private final WitnessRecords keptRecords = new WitnessRecords();
    private final Map<Long, Consumer<String>> pendingAcknowledgements = new TreeMap<>();
    private final Map<String, BiConsumer<String, Map<String, Long>>> pendingQueries = new HashMap<>();
    private long nextNumber;

    /** Creates an instance; no usage record is kept before {@link #start}. */
    public UsageWitnesses(EntryPeers peers, String ownName) {
        this.peers = peers;
        this.ownName = ownName;
    }

    /** Starts receiving frames of other entries. */
    public void start() {
        peers.listen(this::received);
    }

    @Override
    public Set<String> choose(Set<String> present) {
        Map<String, String> connected = new HashMap<>();
        peers.byEntry()
                .forEach((name, peer) -> connected.put(name, peer.remote().incarnation()));
        if (connected.isEmpty()) {
            return present;
        }
        Set<String> chosen = new HashSet<>(present);
        chosen.retainAll(connected.values());
        RendezvousHash.order(ownName, connected.keySet()).stream()
                .map(connected::get)
                .filter(incarnation -> !chosen.contains(incarnation))
                .limit(Math.max(0, WITNESS_COUNT - chosen.size()))
                .toList()
                .forEach(chosen::add);
        return chosen;
    }

    @Override
    public void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged) {
        for (String witness : witnesses) {
            connection(witness).ifPresent(peer -> {
                long number = nextNumber++;
                pendingAcknowledgements.put(number, acknowledged);
                UseNote note = UseNote.newBuilder()
                        .setNumber(number)
                        .addAllTokens(encode(tokens))
                        .build();
                peer.send(Frame.newBuilder().setUseNote(note).build());
            });
        }
        dropOldAcknowledgements();
    }

    /** Stops waiting for old acknowledgements. A missing acknowledgement only leaves tokens unused. */
    private void dropOldAcknowledgements() {
        pendingAcknowledgements.keySet().removeIf(number -> number < nextNumber - MAX_UNACKNOWLEDGED);
    }

    @Override
    public void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered) {
        connection(witness).ifPresent(peer -> {
            pendingQueries.put(incarnation, answered);
            UseQuery query = UseQuery.newBuilder().setIncarnation(incarnation).build();
            peer.send(Frame.newBuilder().setUseQuery(query).build());
        });
    }

    @Override
    public boolean gone(String witness) {
        return peers.byEntry().values().stream()
                .map(PeerConnection::remote)
                .anyMatch(remote -> witness.startsWith(remote.name() + ".") && !witness.equals(remote.incarnation()));
    }

    private Optional<PeerConnection> connection(String incarnation) {
        return peers.byEntry().values().stream()
                .filter(peer -> peer.remote().incarnation().equals(incarnation))
                .findFirst();
    }

    private void received(PeerConnection connection, Frame frame) {
        if (frame.hasUseNote()) {
            keepRecord(connection, frame.getUseNote());
        }
        if (frame.hasUseNoted()) {
            Optional.ofNullable(
                            pendingAcknowledgements.remove(frame.getUseNoted().getNumber()))
                    .ifPresent(each -> each.accept(connection.remote().incarnation()));
        }
        if (frame.hasUseQuery()) {
            answerQuery(connection, frame.getUseQuery().getIncarnation());
        }
        if (frame.hasUseReport()) {
            passOnReport(connection.remote().incarnation(), frame.getUseReport());
        }
    }

    private void keepRecord(PeerConnection connection, UseNote note) {
        if (keptRecords.add(connection.remote().incarnation(), decode(note.getTokensList()))) {
            UseNoted noted = UseNoted.newBuilder().setNumber(note.getNumber()).build();
            connection.send(Frame.newBuilder().setUseNoted(noted).build());
        }
    }

    private void answerQuery(PeerConnection connection, String incarnation) {
        UseReport report = UseReport.newBuilder()
                .setIncarnation(incarnation)
                .addAllTokens(encode(keptRecords.close(incarnation)))
                .build();
        connection.send(Frame.newBuilder().setUseReport(report).build());
    }

    private void passOnReport(String witness, UseReport report) {
        Optional.ofNullable(pendingQueries.get(report.getIncarnation()))
                .ifPresent(each -> each.accept(witness, decode(report.getTokensList())));
    }

    private static List<AccountTokens> encode(Map<String, Long> tokens) {
        return tokens.entrySet().stream()
                .map(each -> AccountTokens.newBuilder()
                        .setAccount(each.getKey())
                        .setTokens(each.getValue())
                        .build())
                .toList();
    }

    private static Map<String, Long> decode(Collection<AccountTokens> tokens) {
        return tokens.stream()
                .collect(Collectors.toMap(AccountTokens::getAccount, AccountTokens::getTokens, Math::max));
    }
}
