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
import org.streamring.kernel.permit.PermitDesk;
import org.streamring.kernel.permit.PermitGrant;
import org.streamring.kernel.permit.PermitLink;
import org.streamring.net.generated.Wire;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.PermitAnswer;
import org.streamring.net.peer.PeerConnection;

/** Carries the questions of {@link PermitDesk} over the connections between entries. Confined to the event loop. */
public final class PermitExchange implements PermitLink {
    /** Who lives and is reached is looked at so often. */
    private static final long TICK_MILLIS = 250;

    private static final long USE_MILLIS = 4_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final Supplier<Set<String>> owners;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final PermitDesk desk;
    private long useSinceMillis;

    /**
     * Creates one; nothing is asked or answered before {@link #start}.
     *
     * @param own name of this entry
     * @param owners entries that are known to live and may own permits; none while they are not known
     * @param events told what is believed of the servers' limits
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
        this.desk = new PermitDesk(own, this, events);
    }

    /** This entry's part in dividing the limits. */
    public PermitDesk desk() {
        return desk;
    }

    /** Starts to ask and to answer. */
    public void start() {
        peers.listen(this::received);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long now = clock.getAsLong();
        desk.entries(owners.get(), peers.connectedEntries(), now);
        if (now - useSinceMillis >= USE_MILLIS) {
            desk.takeUse(useSinceMillis, now).forEach(metrics::limitUsed);
            useSinceMillis = now;
        }
    }

    @Override
    public void ask(String entry, long number, PermitAsk ask) {
        Wire.PermitAsk question = Wire.PermitAsk.newBuilder()
                .setQuery(number)
                .setNews(encode(ask.news()))
                .setWanted(ask.wanted())
                .build();
        send(entry, Frame.newBuilder().setPermitAsk(question).build());
        loop.schedule(
                () -> desk.goOnWithUnanswered(clock.getAsLong()), PermitDesk.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void tell(String entry, LimitNews news) {
        send(entry, Frame.newBuilder().setLimitNews(encode(news)).build());
    }

    private static Wire.LimitNews encode(LimitNews news) {
        return Wire.LimitNews.newBuilder()
                .setIncarnation(news.incarnation())
                .setPerSecond(news.perSecond())
                .setSentAgeMillis(news.sentAgeMillis())
                .setHeardAgeMillis(news.heardAgeMillis())
                .build();
    }

    private Optional<LimitNews> decode(PeerConnection connection, Wire.LimitNews told) {
        LimitNews news = new LimitNews(
                told.getIncarnation(), told.getPerSecond(), told.getSentAgeMillis(), told.getHeardAgeMillis());
        if (news.isReadable()) {
            return Optional.of(news);
        }
        log.line("frame_unreadable", "peer", connection.remote().name());
        return Optional.empty();
    }

    /** A frame that can't be sent is like one that is lost: its question isn't answered in time. */
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
            desk.granted(
                    answer.getQuery(),
                    new PermitGrant(Math.max(0, answer.getGranted()), Math.max(0, answer.getWaitMillis())),
                    now);
        }
        if (frame.hasLimitNews()) {
            decode(connection, frame.getLimitNews())
                    .ifPresent(news -> desk.told(connection.remote().name(), news, now));
        }
    }

    private void answer(PeerConnection connection, Wire.PermitAsk asked, long now) {
        Optional<LimitNews> news = decode(connection, asked.getNews());
        if (news.isEmpty()) {
            return;
        }
        PermitAsk ask = new PermitAsk(news.get(), Math.max(1, asked.getWanted()));
        PermitGrant grant = desk.asked(connection.remote().name(), ask, now);
        PermitAnswer answer = PermitAnswer.newBuilder()
                .setQuery(asked.getQuery())
                .setGranted(grant.count())
                .setWaitMillis(grant.waitMillis())
                .build();
        connection.send(Frame.newBuilder().setPermitAnswer(answer).build());
    }
}
