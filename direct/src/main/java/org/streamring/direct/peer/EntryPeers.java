package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.ledger.Lenders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.kernel.store.RowStore;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.LendAnswer;
import org.streamring.net.generated.Wire.LendAsk;
import org.streamring.net.generated.Wire.PlacementLoad;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerConnector;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;
import org.streamring.net.peer.PeerServer;

/**
 * Connections to some of the other entries, over which entries lend tokens to each other.
 *
 * <p>Tokens of an answer that is lost count as used by the lender. Confined to the event loop.
 */
public final class EntryPeers implements Lenders {
    private static final int MOST_PEERS = 40;
    private static final int MOST_ASKED = 4;
    private static final long ANSWER_MILLIS = 60;
    private static final long LATE_MILLIS = 5_000;

    private final EventLoopGroup loops;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final PeerIdentity own;
    private final Random random;
    private final DecisionLog log;
    private final FleetKeyRow keyRow;
    private final Map<InetSocketAddress, PeerConnector> connectors = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final Map<Long, Query> asked = new HashMap<>();
    private final AccountHomes homes;
    private @Nullable FleetKey key;
    private @Nullable Lender lender;
    private LoadListener loadListener = (entry, load) -> {};
    private MemberRegister.Others members = new MemberRegister.Others(List.of(), List.of());
    private long nextQuery;

    /**
     * Creates one without connections.
     *
     * @param address where this entry listens for others
     * @param own who this entry is
     * @param homes which entries hold an account's leases
     */
    public EntryPeers(
            EventLoopGroup loops,
            EventLoop loop,
            RowStore store,
            InetSocketAddress address,
            PeerIdentity own,
            AccountHomes homes,
            Random random,
            DecisionLog log) {
        this.loops = loops;
        this.loop = loop;
        this.address = address;
        this.own = own;
        this.homes = homes;
        this.random = random;
        this.log = log;
        this.keyRow = new FleetKeyRow(loop, store);
    }

    /** Lends from this entry's leases. */
    public interface Lender {
        /** Lends tokens, fewer than asked if there are not so many; tells once how many. */
        void lend(String account, long asked, LongConsumer then);
    }

    /** Hears what other entries have in progress. */
    public interface LoadListener {
        /**
         * Takes a report.
         *
         * @param entry name of the entry that sent it
         */
        void loadTold(String entry, PlacementLoad load);
    }

    /** Says who hears what other entries have in progress. */
    public void onLoad(LoadListener listener) {
        loadListener = listener;
    }

    /** Tells all connected entries what this one has in progress; a lost report is made good by the next. */
    public void tellLoad(PlacementLoad load) {
        Frame frame = Frame.newBuilder().setPlacementLoad(load).build();
        Map<String, PeerConnection> byEntry = new HashMap<>();
        connections.forEach(each -> byEntry.put(each.remote().name(), each));
        byEntry.values().forEach(each -> each.send(frame));
    }

    /** Starts to listen and to connect, once the fleet's key is known. */
    public void start(Lender ownLender) {
        lender = ownLender;
        keyRow.fetch(fetched -> {
            key = fetched;
            listen(fetched);
            connect();
        });
    }

    private void listen(FleetKey fetched) {
        PeerServer.open(loops, address, fetched, own, new Lending()).addListener(done -> {
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
                PeerConnector connector = new PeerConnector(loops, to, known, own, new Lending());
                connector.start();
                return connector;
            });
        }
    }

    private List<InetSocketAddress> chosen() {
        return Stream.concat(ordered(members.live()), ordered(members.absent()))
                .limit(MOST_PEERS)
                .toList();
    }

    private Stream<InetSocketAddress> ordered(List<MemberRegister.Member> entries) {
        Map<String, InetSocketAddress> byName = new HashMap<>();
        entries.forEach(each -> byName.put(each.name(), each.address()));
        return RendezvousHash.order(own.name(), byName.keySet()).stream().map(byName::get);
    }

    @Override
    public void ask(String account, LongSupplier lacking, LongConsumer then, Runnable atEnd) {
        askNext(account, lacking, new ArrayDeque<>(lenders(account)), then, atEnd);
    }

    /** Home entries of the account first, in any order, so that they share its demand; then others. */
    private List<PeerConnection> lenders(String account) {
        Map<String, PeerConnection> byEntry = new HashMap<>();
        connections.forEach(each -> byEntry.put(each.remote().name(), each));
        List<PeerConnection> order =
                shuffled(homes.of(account).stream().map(byEntry::remove).filter(Objects::nonNull));
        order.addAll(shuffled(byEntry.values().stream()));
        return order.subList(0, Math.min(MOST_ASKED, order.size()));
    }

    private List<PeerConnection> shuffled(Stream<PeerConnection> entries) {
        List<PeerConnection> order = new ArrayList<>(entries.toList());
        Collections.shuffle(order, random);
        return order;
    }

    private void askNext(
            String account, LongSupplier lacking, Deque<PeerConnection> left, LongConsumer then, Runnable atEnd) {
        long tokens = lacking.getAsLong();
        PeerConnection next = tokens > 0 ? left.pollFirst() : null;
        if (next == null) {
            atEnd.run();
            return;
        }
        long number = nextQuery++;
        asked.put(number, new Query(then, () -> askNext(account, lacking, left, then, atEnd)));
        loop.schedule(() -> goOn(number), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> asked.remove(number), LATE_MILLIS, TimeUnit.MILLISECONDS);
        LendAsk ask = LendAsk.newBuilder()
                .setQuery(number)
                .setAccount(account)
                .setTokens(tokens)
                .build();
        if (!next.send(Frame.newBuilder().setLendAsk(ask).build())) {
            goOn(number);
        }
    }

    private void goOn(long number) {
        Optional.ofNullable(asked.get(number)).ifPresent(Query::goOnOnce);
    }

    private void answered(long number, long tokens) {
        Query query = asked.remove(number);
        if (query == null) {
            return;
        }
        if (tokens > 0) {
            query.lent.accept(tokens);
        }
        query.goOnOnce();
    }

    /** A question that was sent; tokens that come after the next one was sent are taken as well. */
    private static final class Query {
        private final LongConsumer lent;
        private final Runnable next;
        private boolean goneOn;

        private Query(LongConsumer lent, Runnable next) {
            this.lent = lent;
            this.next = next;
        }

        private void goOnOnce() {
            if (!goneOn) {
                goneOn = true;
                next.run();
            }
        }
    }

    /** Either side of a connection asks and answers on it, whoever made it. */
    private final class Lending implements PeerListener {
        @Override
        public void connected(PeerConnection connection) {
            connections.add(connection);
            log.line("peer_connected", "peer", connection.remote().name());
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            if (frame.hasLendAsk()) {
                lend(connection, frame.getLendAsk());
            }
            if (frame.hasLendAnswer()) {
                answered(frame.getLendAnswer().getQuery(), frame.getLendAnswer().getTokens());
            }
            if (frame.hasPlacementLoad()) {
                loadListener.loadTold(connection.remote().name(), frame.getPlacementLoad());
            }
        }

        private void lend(PeerConnection connection, LendAsk ask) {
            Lender lending = lender;
            if (lending == null || ask.getTokens() <= 0) {
                answer(connection, ask, 0);
            } else {
                lending.lend(ask.getAccount(), ask.getTokens(), tokens -> answer(connection, ask, tokens));
            }
        }

        private void answer(PeerConnection connection, LendAsk ask, long tokens) {
            if (tokens > 0) {
                String to = connection.remote().name();
                log.line("tokens_lent", "account", ask.getAccount(), "tokens", tokens, "to", to);
            }
            LendAnswer answer = LendAnswer.newBuilder()
                    .setQuery(ask.getQuery())
                    .setTokens(tokens)
                    .build();
            connection.send(Frame.newBuilder().setLendAnswer(answer).build());
        }

        @Override
        public void disconnected(PeerConnection connection) {
            connections.remove(connection);
            log.line("peer_lost", "peer", connection.remote().name());
        }
    }
}
