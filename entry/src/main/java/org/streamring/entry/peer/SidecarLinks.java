package org.streamring.entry.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.routing.AttemptResult;
import org.streamring.kernel.routing.LoadReport;
import org.streamring.kernel.routing.ReplicaTable;
import org.streamring.model.box.BackendServer;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.generated.Wire.Cancel;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.LeasesSettled;
import org.streamring.net.generated.Wire.Load;
import org.streamring.net.generated.Wire.Ping;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.peer.DisconnectReason;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerConnector;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;

/** Connections of an entry to the sidecars in its subset, and the attempts that are open on them. */
public final class SidecarLinks {
    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarLinks.class);

    /**
     * Limits heartbeats to about 1 KB/s at the default interval of 2 s; a heartbeat and its answer take 117 bytes on
     * the wire.
     */
    private static final int MAX_HEARTBEATS_PER_CALL = 17;

    private static final long HEARTBEAT_TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup loops;
    private final FleetKey fleetKey;
    private final PeerIdentity own;
    private final ReplicaTable replicas;
    private final Counter dropped;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Map<String, OpenAttempt> attempts = new ConcurrentHashMap<>();
    private final ReceiptQueries queries = new ReceiptQueries();
    private final AtomicLong heartbeatSequence = new AtomicLong();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Receives connection events of sidecars, on an event loop. */
    public interface Listener {
        /** Called when a sidecar has connected and authenticated itself. */
        void sidecarConnected(String incarnation);

        /** Called when the connection to a sidecar is closed. */
        void sidecarDisconnected(String incarnation);
    }

    /** Creates an instance without connections. */
    public SidecarLinks(
            EventLoopGroup loops, FleetKey fleetKey, PeerIdentity own, ReplicaTable replicas, MeterRegistry metrics) {
        this.loops = loops;
        this.fleetKey = fleetKey;
        this.own = own;
        this.replicas = replicas;
        this.dropped = Counter.builder("streamring.frames.dropped")
                .description("Frames that matched no open attempt")
                .register(metrics);
    }

    /** Adds a listener. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Connects to the servers of the subset. The connections to servers that are not in it or whose address has changed
     * are closed once no attempt is left on them.
     */
    public void updateSubset(Collection<BackendServer> subset) {
        Map<String, BackendServer> wanted = new HashMap<>();
        subset.forEach(server -> wanted.put(server.name(), server));
        links.forEach((name, link) -> {
            BackendServer server = wanted.get(name);
            if (server == null || !link.hasAddressOf(server)) {
                links.remove(name);
                link.retire();
            }
        });
        wanted.values().forEach(this::connect);
    }

    /** Connects to a server, unless a connection to it is already maintained. */
    public void connect(BackendServer server) {
        links.computeIfAbsent(server.name(), name -> {
            Link link = new Link(server);
            link.connector.start();
            return link;
        });
    }

    /** Returns the incarnation of a connected sidecar; empty if it is not connected. */
    public Optional<String> incarnationOf(String name) {
        return connection(name).map(connection -> connection.remote().incarnation());
    }

    private Optional<PeerConnection> connection(String name) {
        return Optional.ofNullable(links.get(name)).flatMap(link -> link.connection);
    }

    private Optional<PeerConnection> connectionTo(String incarnation) {
        return links.values().stream()
                .flatMap(link -> link.connection.stream())
                .filter(connection -> connection.remote().incarnation().equals(incarnation))
                .findFirst();
    }

    /** Returns whether a sidecar of this incarnation is connected. */
    public boolean isConnected(String incarnation) {
        return connectionTo(incarnation).isPresent();
    }

    /** Returns the incarnations of the connected sidecars. */
    public List<String> connectedIncarnations() {
        return links.values().stream()
                .flatMap(link -> link.connection.stream())
                .map(connection -> connection.remote().incarnation())
                .toList();
    }

    /** Returns whether the sidecar of a server is connected. */
    public boolean hasConnection(String name) {
        return connection(name).isPresent();
    }

    /**
     * Submits an attempt.
     *
     * @return false if the attempt was certainly not sent
     */
    public boolean submit(String sidecar, Submit submit, AttemptListener listener) {
        Optional<PeerConnection> connection = connection(sidecar)
                .filter(found -> found.remote().incarnation().equals(submit.getSidecarIncarnation()));
        if (connection.isEmpty()) {
            return false;
        }
        attempts.put(submit.getAttempt(), new OpenAttempt(connection.get(), submit, listener));
        replicas.started(sidecar);
        if (connection.get().send(Frame.newBuilder().setSubmit(submit).build())) {
            return true;
        }
        attempts.remove(submit.getAttempt());
        replicas.ended(sidecar, AttemptResult.FAILED, now());
        return false;
    }

    /** Requests the cancellation of an attempt; its end is still reported to the listener. */
    public void cancel(String attempt) {
        OpenAttempt open = attempts.get(attempt);
        if (open != null) {
            open.markCancelled();
            open.connection().send(cancelFrame(attempt));
        }
    }

    private static Frame cancelFrame(String attempt) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder().setAttempt(attempt))
                .build();
    }

    /** Returns the number of attempts in progress. */
    public int openAttempts() {
        return attempts.size();
    }

    /**
     * Fences an entry at a sidecar and queries the sidecar for the receipts of that entry. The returned future is
     * cancelled if the sidecar is not connected or its connection is lost.
     */
    public CompletableFuture<List<Receipt>> fence(String sidecarIncarnation, String entryIncarnation) {
        return queries.fence(connectionTo(sidecarIncarnation), entryIncarnation);
    }

    /**
     * Queries a sidecar for the receipts of single attempts. The returned future is cancelled if the sidecar is not
     * connected or its connection is lost.
     */
    public CompletableFuture<List<Receipt>> receipts(String sidecarIncarnation, Collection<String> attemptIds) {
        return queries.receipts(connectionTo(sidecarIncarnation), attemptIds);
    }

    /** Notifies all connected sidecars that leases are settled. */
    public void leasesSettled(Collection<String> leaseIds) {
        if (leaseIds.isEmpty()) {
            return;
        }
        Frame frame = Frame.newBuilder()
                .setLeasesSettled(LeasesSettled.newBuilder().addAllLeaseIds(leaseIds))
                .build();
        links.values().forEach(link -> link.connection.ifPresent(connection -> connection.send(frame)));
    }

    /**
     * Sends heartbeats with the configuration version and the order of the operators for each server, to the sidecars
     * without activity for the longest time. The number of heartbeats per call is bounded, so that control traffic is
     * bounded for any number of connected sidecars; every frame received counts as a sign of life. The connection to a
     * sidecar that leaves a heartbeat unanswered is closed.
     */
    public void sendHeartbeats(long configVersion, Map<String, String> orders) {
        long now = now();
        links.values().stream()
                .filter(link -> link.connection.isPresent())
                .sorted(Comparator.comparingLong(link -> link.lastActivityMillis(configVersion)))
                .limit(MAX_HEARTBEATS_PER_CALL)
                .forEach(link ->
                        link.sendHeartbeat(configVersion, orders.getOrDefault(link.server.name(), "start"), now));
        links.values().stream()
                .filter(link -> link.heartbeatTimedOut(now))
                .forEach(link -> link.connection.ifPresent(PeerConnection::close));
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(link -> link.connector.stop());
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    private final class Link implements PeerListener {
        private final BackendServer server;
        private final PeerConnector connector;
        private volatile Optional<PeerConnection> connection = Optional.empty();
        private volatile long lastReceivedMillis;
        private volatile long connectedMillis;
        private volatile long heartbeatSentMillis;
        private volatile long sentConfigVersion;

        private Link(BackendServer server) {
            this.server = server;
            this.connector =
                    new PeerConnector(loops, new InetSocketAddress(server.host(), server.port()), fleetKey, own, this);
        }

        /**
         * Returns the time of the last activity, or 0 if the newest configuration version was not sent on this
         * connection, so that such a sidecar comes first.
         */
        private long lastActivityMillis(long configVersion) {
            return sentConfigVersion < configVersion ? 0 : Math.max(lastReceivedMillis, heartbeatSentMillis);
        }

        private boolean heartbeatTimedOut(long now) {
            return lastReceivedMillis < heartbeatSentMillis && now - heartbeatSentMillis > HEARTBEAT_TIMEOUT_MILLIS;
        }

        private void sendHeartbeat(long configVersion, String order, long now) {
            if (lastReceivedMillis >= heartbeatSentMillis) {
                heartbeatSentMillis = now;
            }
            sentConfigVersion = configVersion;
            Frame frame = Frame.newBuilder()
                    .setPing(Ping.newBuilder()
                            .setSequence(heartbeatSequence.incrementAndGet())
                            .setConfigVersion(configVersion)
                            .setOrder(order))
                    .build();
            connection.ifPresent(open -> open.send(frame));
        }

        private void retire() {
            Optional<PeerConnection> current = connection;
            if (current.filter(this::isUsed).isEmpty()) {
                connector.stop();
                return;
            }
            connector.stopReconnecting();
            removeCurrent(current.get());
            closeIfUnused(current.get());
        }

        private boolean hasAddressOf(BackendServer listed) {
            return listed.host().equals(server.host()) && listed.port() == server.port();
        }

        @Override
        public void connected(PeerConnection opened) {
            if (!opened.remote().name().equals(server.name())) {
                LOGGER.warn(
                        "sidecar_misnamed expected={} found={}",
                        server.name(),
                        opened.remote().name());
                opened.close();
                return;
            }
            lastReceivedMillis = now();
            connectedMillis = lastReceivedMillis;
            sentConfigVersion = 0;
            connection = Optional.of(opened);
            LOGGER.info("sidecar_connected peer={}", opened);
            String incarnation = opened.remote().incarnation();
            replicas.connected(server.name(), incarnation);
            listeners.forEach(listener -> listener.sidecarConnected(incarnation));
        }

        /**
         * Replaces a silent connection by a new one, and gives up the attempts that are retried elsewhere. The silent
         * connection is kept for the others, which go on if the sidecar does, until the sidecar is heard on the new one
         * only.
         */
        @Override
        public boolean closesSilent(PeerConnection silent) {
            attempts.forEach((id, open) -> {
                if (open.connection() == silent && open.listener().secureRetry()) {
                    silent.send(cancelFrame(id));
                    giveUp(id, open);
                }
            });
            if (!isUsed(silent) || isHeardElsewhere(silent)) {
                return true;
            }
            if (isCurrent(silent)) {
                LOGGER.info("sidecar_silent peer={}", silent);
                removeCurrent(silent);
                connector.replace();
            }
            return false;
        }

        private boolean isHeardElsewhere(PeerConnection silent) {
            return connection.isPresent()
                    && !isCurrent(silent)
                    && now() - connectedMillis >= PeerConnection.MILLIS_TO_OUTLAST_SILENCE;
        }

        private void giveUp(String id, OpenAttempt open) {
            if (attempts.remove(id, open)) {
                replicas.ended(server.name(), AttemptResult.FAILED, now());
                open.listener().lost();
            }
        }

        private boolean isUsed(PeerConnection candidate) {
            return attempts.values().stream().anyMatch(open -> open.connection() == candidate);
        }

        private boolean isCurrent(PeerConnection candidate) {
            return connection.filter(current -> current == candidate).isPresent();
        }

        private void removeCurrent(PeerConnection removed) {
            connection = Optional.empty();
            replicas.disconnected(server.name());
            queries.connectionLost(removed);
            String incarnation = removed.remote().incarnation();
            listeners.forEach(listener -> listener.sidecarDisconnected(incarnation));
        }

        @Override
        public void disconnected(PeerConnection closed, DisconnectReason reason) {
            LOGGER.info("sidecar_disconnected peer={} reason={}", closed, reason);
            if (isCurrent(closed)) {
                removeCurrent(closed);
            }
            attempts.forEach((id, open) -> {
                if (open.connection() == closed) {
                    giveUp(id, open);
                }
            });
        }

        /** Closes a connection that was replaced once no attempt is left on it. */
        private void closeIfUnused(PeerConnection from) {
            if (!isUsed(from) && !isCurrent(from)) {
                from.close();
            }
        }

        @Override
        public void received(PeerConnection from, Frame frame) {
            lastReceivedMillis = now();
            switch (frame.getBodyCase()) {
                case BEGIN ->
                    attempt(from, frame.getBegin().getAttempt())
                            .ifPresentOrElse(open -> open.begun(frame.getBegin()), dropped::increment);
                case CHUNK ->
                    attempt(from, frame.getChunk().getAttempt())
                            .ifPresentOrElse(open -> open.chunk(frame.getChunk()), dropped::increment);
                case END -> ended(from, frame);
                case REFUSED -> refused(from, frame);
                case PONG -> recordLoad(frame.getPong().getLoad());
                case RECEIPT_REPLY -> {
                    if (!queries.complete(frame.getReceiptReply())) {
                        dropped.increment();
                    }
                }
                default -> dropped.increment();
            }
        }

        private Optional<OpenAttempt> attempt(PeerConnection from, String id) {
            return Optional.ofNullable(attempts.get(id)).filter(open -> open.connection() == from);
        }

        private void ended(PeerConnection from, Frame frame) {
            recordLoad(frame.getEnd().getLoad());
            String id = frame.getEnd().getAttempt();
            Optional<OpenAttempt> open = attempt(from, id);
            if (open.isEmpty() || !attempts.remove(id, open.get())) {
                dropped.increment();
                return;
            }
            replicas.ended(server.name(), open.get().result(frame.getEnd()), now());
            open.get()
                    .serviceTimeMillis(frame.getEnd())
                    .ifPresent(millis -> replicas.recordServiceTime(server.name(), millis, now()));
            open.get().listener().ended(frame.getEnd());
            closeIfUnused(from);
        }

        private void refused(PeerConnection from, Frame frame) {
            recordLoad(frame.getRefused().getLoad());
            String id = frame.getRefused().getAttempt();
            Optional<OpenAttempt> open = attempt(from, id);
            if (open.isEmpty() || !attempts.remove(id, open.get())) {
                dropped.increment();
                return;
            }
            boolean unreachable = frame.getRefused().getReason().equals(RefusalReason.BACKEND_UNREACHABLE.name());
            replicas.ended(server.name(), unreachable ? AttemptResult.FAILED : AttemptResult.INCONCLUSIVE, now());
            open.get().listener().refused(frame.getRefused());
            closeIfUnused(from);
        }

        private void recordLoad(Load load) {
            if (load.getCapacity() > 0) {
                replicas.reported(
                        server.name(), new LoadReport(load.getRunning(), load.getCapacity(), load.getLeaving()));
            }
        }
    }
}
