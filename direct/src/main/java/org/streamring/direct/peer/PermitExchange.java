package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.permit.LimitEvents;
import org.streamring.kernel.permit.LimitNews;
import org.streamring.kernel.permit.PermitAsk;
import org.streamring.kernel.permit.PermitCoordinator;
import org.streamring.kernel.permit.PermitGrant;
import org.streamring.kernel.permit.PermitLink;
import org.streamring.net.generated.Wire;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.PermitAnswer;
import org.streamring.net.peer.PeerConnection;

/**
 * Sends permit requests of {@link PermitCoordinator}, their answers and limit updates between entries. Confined to the
 * event loop.
 */
public final class PermitExchange implements PermitLink {
    /** Interval at which the live and the connected entries are updated. */
    private static final long UPDATE_INTERVAL_MILLIS = 250;

    private static final long USAGE_INTERVAL_MILLIS = 4_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final Supplier<Set<String>> owners;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final PermitCoordinator coordinator;
    private long usageSinceMillis;

    /**
     * Creates an exchange; no request is sent or answered before {@link #start}.
     *
     * @param own name of this entry
     * @param owners names of live entries, which may own permits; empty while they are unknown
     * @param events receives changes of the assumed limits of the backend servers
     */
    public PermitExchange(
            EventLoop loop,
            EntryPeers peers,
            String own,
            Supplier<Set<String>> owners,
            LongSupplier clock,
            EntryMetrics metrics,
            DecisionLog log,
            LimitEvents events) {
        this.loop = loop;
        this.peers = peers;
        this.owners = owners;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.coordinator = new PermitCoordinator(own, this, events);
    }

    /** Returns the coordinator that divides the limits of backend servers between this entry and the others. */
    public PermitCoordinator coordinator() {
        return coordinator;
    }

    /** Starts sending and answering requests. */
    public void start() {
        peers.listen(this::received);
        loop.scheduleAtFixedRate(
                this::updateEntries, UPDATE_INTERVAL_MILLIS, UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void updateEntries() {
        long now = clock.getAsLong();
        coordinator.entries(owners.get(), peers.connectedEntries(), now);
        if (now - usageSinceMillis >= USAGE_INTERVAL_MILLIS) {
            coordinator.takeUsage(usageSinceMillis, now).forEach(metrics::limitUsed);
            usageSinceMillis = now;
        }
    }

    @Override
    public void sendRequest(String entry, long number, PermitAsk permitRequest) {
        Wire.PermitAsk request = Wire.PermitAsk.newBuilder()
                .setQuery(number)
                .setNews(encode(permitRequest.update()))
                .setWanted(permitRequest.wanted())
                .build();
        send(entry, Frame.newBuilder().setPermitAsk(request).build());
        loop.schedule(
                () -> coordinator.retryTimedOut(clock.getAsLong()),
                PermitCoordinator.TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void sendUpdate(String entry, LimitNews update) {
        send(entry, Frame.newBuilder().setLimitNews(encode(update)).build());
    }

    private static Wire.LimitNews encode(LimitNews update) {
        return Wire.LimitNews.newBuilder()
                .setIncarnation(update.incarnation())
                .setPerSecond(update.perSecond())
                .setSentAgeMillis(update.sentAgeMillis())
                .setHeardAgeMillis(update.receivedAgeMillis())
                .build();
    }

    private Optional<LimitNews> decode(PeerConnection connection, Wire.LimitNews message) {
        LimitNews update = new LimitNews(
                message.getIncarnation(),
                message.getPerSecond(),
                message.getSentAgeMillis(),
                message.getHeardAgeMillis());
        if (update.isReadable()) {
            return Optional.of(update);
        }
        log.line("frame_unreadable", "peer", connection.remote().name());
        return Optional.empty();
    }

    /** Sends a frame. If the entry is not connected, the request times out as if the frame were lost. */
    private void send(String entry, Frame frame) {
        Optional.ofNullable(peers.byEntry().get(entry)).ifPresent(peer -> peer.send(frame));
    }

    private void received(PeerConnection connection, Frame frame) {
        long now = clock.getAsLong();
        if (frame.hasPermitAsk()) {
            answer(connection, frame.getPermitAsk(), now);
        }
        if (frame.hasPermitAnswer()) {
            PermitAnswer answer = frame.getPermitAnswer();
            coordinator.granted(
                    answer.getQuery(),
                    new PermitGrant(Math.max(0, answer.getGranted()), Math.max(0, answer.getWaitMillis())),
                    now);
        }
        if (frame.hasLimitNews()) {
            decode(connection, frame.getLimitNews())
                    .ifPresent(update ->
                            coordinator.applyUpdate(connection.remote().name(), update, now));
        }
    }

    private void answer(PeerConnection connection, Wire.PermitAsk request, long now) {
        Optional<LimitNews> update = decode(connection, request.getNews());
        if (update.isEmpty()) {
            return;
        }
        PermitAsk permitRequest = new PermitAsk(update.get(), Math.max(1, request.getWanted()));
        PermitGrant grant = coordinator.answerRequest(connection.remote().name(), permitRequest, now);
        PermitAnswer answer = PermitAnswer.newBuilder()
                .setQuery(request.getQuery())
                .setGranted(grant.count())
                .setWaitMillis(grant.waitMillis())
                .build();
        connection.send(Frame.newBuilder().setPermitAnswer(answer).build());
    }
}
