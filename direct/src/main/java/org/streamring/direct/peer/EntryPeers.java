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
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.store.RowStore;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.DisconnectReason;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerConnector;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;
import org.streamring.net.peer.PeerServer;

/** Maintains connections to other entries and passes on the frames that are received. Confined to the event loop. */
public final class EntryPeers {
    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final PeerIdentity own;
    private final PeerChoice choice;
    private final HomeEntries homeEntries;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final FleetKeyRow keyRow;
    private final Map<InetSocketAddress, PeerConnector> connectors = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final List<FrameListener> listeners = new ArrayList<>();
    private @Nullable FleetKey key;
    private boolean membersRead;
    private boolean connecting;
    private MemberRegister.OtherEntries members = new MemberRegister.OtherEntries(List.of(), List.of());

    /**
     * Creates an instance without connections.
     *
     * @param address address on which this entry accepts connections of other entries
     * @param own identity of this entry
     * @param homeEntries home entries, which hold leases and to which every other entry must be connected
     */
    public EntryPeers(
            EventLoopGroup loops,
            EventLoop loop,
            RowStore store,
            InetSocketAddress address,
            PeerIdentity own,
            HomeEntries homeEntries,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loops = loops;
        this.address = address;
        this.own = own;
        this.choice = new PeerChoice(own.name());
        this.homeEntries = homeEntries;
        this.metrics = metrics;
        this.log = log;
        this.keyRow = new FleetKeyRow(loop, store);
    }

    /** Receives frames of other entries. */
    public interface FrameListener {
        /** Called for each frame. Both sides of a connection send queries and answers, whichever side opened it. */
        void received(PeerConnection connection, Frame frame);

        /** Called when a connection to another entry was opened. */
        default void connected(PeerConnection connection) {}

        /** Called once, when the list of entries and the key are known and this entry begins to connect. */
        default void connecting() {}
    }

    /** Adds a listener for received frames. */
    public void listen(FrameListener listener) {
        listeners.add(listener);
    }

    /** Returns one connection to each connected entry, by the entry's name. */
    Map<String, PeerConnection> byEntry() {
        Map<String, PeerConnection> byEntry = new HashMap<>();
        connections.forEach(each -> byEntry.put(each.remote().name(), each));
        return byEntry;
    }

    /** Returns one connection to each entry to which this entry reports its load. */
    List<PeerConnection> loadReportTargets() {
        Map<String, PeerConnection> byEntry = byEntry();
        return choice.loadReportTargets(byEntry.keySet(), homeEntries.holders()).stream()
                .map(byEntry::get)
                .toList();
    }

    /** Sends a frame to each connected entry. */
    public void sendToAll(Frame frame) {
        byEntry().values().forEach(peer -> peer.send(frame));
    }

    /** Returns the number of entries to which a connection is open. */
    public int connected() {
        return byEntry().size();
    }

    /**
     * Returns whether a connection is open to at least half of the other live entries, which this entry asks for
     * tokens, permits and origins of streams; {@code false} until the members have been read.
     */
    public boolean reachesOthers() {
        return membersRead && 2 * connected() >= members.live().size();
    }

    /** Returns the names of the entries to which a connection is open. */
    public Set<String> connectedEntries() {
        return byEntry().keySet();
    }

    /** Returns the key of the fleet, or empty until it has been read from the store. */
    public Optional<FleetKey> key() {
        return Optional.ofNullable(key);
    }

    /** Fetches the key of the fleet, then starts listening and connecting. */
    public void start() {
        keyRow.fetch(fetched -> {
            key = fetched;
            listen(() -> key);
            connect();
        });
    }

    /**
     * Fetches the key of the fleet again, because the store was restored from an older copy and another entry may have
     * written another key. Open connections are kept; new ones use the key that the store has now.
     */
    public void storeRestored() {
        if (key != null) {
            keyRow.fetch(fetched -> key = fetched);
        }
    }

    private void listen(Supplier<FleetKey> current) {
        PeerServer.open(loops, address, current, own, new ConnectionListener()).addListener(done -> {
            if (!done.isSuccess()) {
                log.line("peers_not_listening", "address", address, "reason", String.valueOf(done.cause()));
            }
        });
    }

    /**
     * Sets the addresses of the other entries. Connections to absent entries are tried too, because these may have
     * restarted before the member list shows it.
     */
    public void members(MemberRegister.OtherEntries otherEntries) {
        members = otherEntries;
        membersRead = true;
        connect();
    }

    private void connect() {
        if (key == null) {
            return;
        }
        if (membersRead && !connecting) {
            connecting = true;
            listeners.forEach(FrameListener::connecting);
        }
        List<InetSocketAddress> targets = connectionAddresses();
        connectors.entrySet().removeIf(entry -> {
            boolean gone = !targets.contains(entry.getKey());
            if (gone) {
                entry.getValue().stop();
            }
            return gone;
        });
        for (InetSocketAddress peer : targets) {
            connectors.computeIfAbsent(peer, to -> {
                PeerConnector connector = new PeerConnector(loops, to, () -> key, own, new ConnectionListener());
                connector.start();
                return connector;
            });
        }
    }

    private List<InetSocketAddress> connectionAddresses() {
        return choice.connectionTargets(members, homeEntries.holders()).stream()
                .map(MemberRegister.Member::address)
                .toList();
    }

    private final class ConnectionListener implements PeerListener {
        @Override
        public void connected(PeerConnection connection) {
            connections.add(connection);
            log.line("peer_connected", "peer", connection.remote().name());
            listeners.forEach(each -> each.connected(connection));
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            listeners.forEach(each -> each.received(connection, frame));
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            connections.remove(connection);
            metrics.peerConnectionLost(reason.name());
            log.line("peer_lost", "peer", connection.remote().name(), "reason", reason);
        }
    }
}
