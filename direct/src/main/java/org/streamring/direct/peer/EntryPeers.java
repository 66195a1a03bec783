package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.store.RowStore;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.DisconnectReason;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerConnector;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;
import org.streamring.net.peer.PeerServer;

/** Connections to some of the other entries, and the frames that come over them. Confined to the event loop. */
public final class EntryPeers {
    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final PeerIdentity own;
    private final PeerChoice choice;
    private final AccountHomes homes;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final FleetKeyRow keyRow;
    private final Map<InetSocketAddress, PeerConnector> connectors = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final List<FrameListener> listeners = new ArrayList<>();
    private @Nullable FleetKey key;
    private MemberRegister.Others members = new MemberRegister.Others(List.of(), List.of());

    /**
     * Creates one without connections.
     *
     * @param address where this entry listens for others
     * @param own who this entry is
     * @param homes which entries hold leases, which all others must reach
     */
    public EntryPeers(
            EventLoopGroup loops,
            EventLoop loop,
            RowStore store,
            InetSocketAddress address,
            PeerIdentity own,
            AccountHomes homes,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loops = loops;
        this.address = address;
        this.own = own;
        this.choice = new PeerChoice(own.name());
        this.homes = homes;
        this.metrics = metrics;
        this.log = log;
        this.keyRow = new FleetKeyRow(loop, store);
    }

    /** Hears frames of other entries. */
    public interface FrameListener {
        /** A frame arrived; either side of a connection asks and answers on it, whoever made it. */
        void received(PeerConnection connection, Frame frame);
    }

    /** Adds one who hears frames. */
    public void listen(FrameListener listener) {
        listeners.add(listener);
    }

    /** One connection to each connected entry, by its name. */
    Map<String, PeerConnection> byEntry() {
        Map<String, PeerConnection> byEntry = new HashMap<>();
        connections.forEach(each -> byEntry.put(each.remote().name(), each));
        return byEntry;
    }

    /** One connection to each entry that hears of this one's load. */
    List<PeerConnection> toldOfLoad() {
        Map<String, PeerConnection> byEntry = byEntry();
        return choice.toldOfLoad(byEntry.keySet(), homes.holders()).stream()
                .map(byEntry::get)
                .toList();
    }

    /** Sends a frame to each connected entry. */
    public void tellAll(Frame frame) {
        byEntry().values().forEach(peer -> peer.send(frame));
    }

    /** Entries to which a connection is open. */
    public int connected() {
        return byEntry().size();
    }

    /** Names of the entries to which a connection is open. */
    public Set<String> connectedEntries() {
        return byEntry().keySet();
    }

    /** The fleet's key; empty until it was read from the store. */
    public Optional<FleetKey> key() {
        return Optional.ofNullable(key);
    }

    /** Starts to listen and to connect, once the fleet's key is known. */
    public void start() {
        keyRow.fetch(fetched -> {
            key = fetched;
            listen(fetched);
            connect();
        });
    }

    private void listen(FleetKey fetched) {
        PeerServer.open(loops, address, fetched, own, new Links()).addListener(done -> {
            if (!done.isSuccess()) {
                log.line("peers_not_listening", "address", address, "reason", String.valueOf(done.cause()));
            }
        });
    }

    /** Takes the addresses of the other entries; absent ones are tried too, as they may be back unheard of. */
    public void members(MemberRegister.Others others) {
        members = others;
        connect();
    }

    private void connect() {
        FleetKey known = key;
        if (known == null) {
            return;
        }
        List<InetSocketAddress> wanted = chosen();
        connectors.entrySet().removeIf(entry -> {
            boolean gone = !wanted.contains(entry.getKey());
            if (gone) {
                entry.getValue().stop();
            }
            return gone;
        });
        for (InetSocketAddress peer : wanted) {
            connectors.computeIfAbsent(peer, to -> {
                PeerConnector connector = new PeerConnector(loops, to, known, own, new Links());
                connector.start();
                return connector;
            });
        }
    }

    private List<InetSocketAddress> chosen() {
        return choice.connectedTo(members, homes.holders()).stream()
                .map(MemberRegister.Member::address)
                .toList();
    }

    private final class Links implements PeerListener {
        @Override
        public void connected(PeerConnection connection) {
            connections.add(connection);
            log.line("peer_connected", "peer", connection.remote().name());
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            listeners.forEach(each -> each.received(connection, frame));
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            connections.remove(connection);
            metrics.peerLost(reason.name());
            log.line("peer_lost", "peer", connection.remote().name(), "reason", reason);
        }
    }
}
