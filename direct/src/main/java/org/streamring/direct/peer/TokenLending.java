package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.ledger.Lenders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.LendAnswer;
import org.streamring.net.generated.Wire.LendAsk;
import org.streamring.net.generated.Wire.TokensReturned;
import org.streamring.net.peer.PeerConnection;

/**
 * Entries lend tokens to each other over their connections.
 *
 * <p>Tokens of an answer that is lost count as used by the lender. Confined to the event loop.
 */
public final class TokenLending implements Lenders {
    private static final int MOST_ASKED = 4;
    private static final long ANSWER_MILLIS = 60;
    private static final long LATE_MILLIS = 5_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final AccountHomes homes;
    private final Random random;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final Map<Long, Query> asked = new HashMap<>();
    private @Nullable Lender lender;
    private long nextQuery;

    /**
     * Creates one; nothing is lent before {@link #start}.
     *
     * @param homes which entries hold an account's leases
     */
    public TokenLending(
            EventLoop loop,
            EntryPeers peers,
            AccountHomes homes,
            Random random,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loop = loop;
        this.peers = peers;
        this.homes = homes;
        this.random = random;
        this.metrics = metrics;
        this.log = log;
    }

    /** Starts to answer others. */
    public void start(Lender ownLender) {
        lender = ownLender;
        peers.listen(this::received);
    }

    @Override
    public void ask(String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd) {
        new Round(account, lacking, lent, atEnd).askNext();
    }

    @Override
    public boolean canReturn(String account) {
        return !connectedHomes(account).isEmpty();
    }

    @Override
    public void giveBack(String account, long tokens) {
        TokensReturned returned = TokensReturned.newBuilder()
                .setAccount(account)
                .setTokens(tokens)
                .build();
        connectedHomes(account).stream()
                .findFirst()
                .ifPresent(home ->
                        home.send(Frame.newBuilder().setTokensReturned(returned).build()));
    }

    private List<PeerConnection> connectedHomes(String account) {
        Map<String, PeerConnection> byEntry = peers.byEntry();
        return shuffled(homes.of(account).stream()
                .map(byEntry::get)
                .filter(Objects::nonNull)
                .toList());
    }

    /** Home entries of the account first, in any order, so that they share its demand; then others. */
    private List<PeerConnection> lenders(String account) {
        Map<String, PeerConnection> byEntry = peers.byEntry();
        List<PeerConnection> order = connectedHomes(account);
        homes.of(account).forEach(byEntry::remove);
        order.addAll(shuffled(byEntry.values()));
        return order.subList(0, Math.min(MOST_ASKED, order.size()));
    }

    private List<PeerConnection> shuffled(Collection<PeerConnection> entries) {
        List<PeerConnection> order = new ArrayList<>(entries);
        Collections.shuffle(order, random);
        return order;
    }

    /** The questions for one request, one lender after the other. */
    private final class Round {
        private final String account;
        private final LongSupplier lacking;
        private final LongConsumer lent;
        private final Consumer<Answers> atEnd;
        private final Deque<PeerConnection> left;
        private int askedSoFar;
        private int answeredInTime;
        private boolean homeAnswered;
        private boolean moreSoon;

        private Round(String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd) {
            this.account = account;
            this.lacking = lacking;
            this.lent = lent;
            this.atEnd = atEnd;
            this.left = new ArrayDeque<>(lenders(account));
        }

        private void askNext() {
            long tokens = lacking.getAsLong();
            PeerConnection next = tokens > 0 ? left.pollFirst() : null;
            if (next == null) {
                atEnd.accept(new Answers(askedSoFar, answeredInTime, homeAnswered, moreSoon));
                return;
            }
            askedSoFar++;
            long number = nextQuery++;
            boolean home = homes.of(account).contains(next.remote().name());
            asked.put(number, new Query(loan -> answered(home, loan), this::askNext));
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

        private void answered(boolean home, Loan loan) {
            answeredInTime++;
            homeAnswered |= home;
            moreSoon |= home && loan.moreSoon();
            if (loan.tokens() > 0) {
                lent.accept(loan.tokens());
            }
        }
    }

    private void goOn(long number) {
        Query query = asked.get(number);
        if (query != null && query.goOnOnce()) {
            metrics.lenderAsked(false);
        }
    }

    /** A question that was sent; tokens that come after the next one was sent are taken as well. */
    private static final class Query {
        private final Consumer<Loan> answered;
        private final Runnable next;
        private boolean goneOn;

        private Query(Consumer<Loan> answered, Runnable next) {
            this.answered = answered;
            this.next = next;
        }

        /** Goes on; tells whether that had not happened before. */
        private boolean goOnOnce() {
            boolean first = !goneOn;
            goneOn = true;
            if (first) {
                next.run();
            }
            return first;
        }
    }

    private void received(PeerConnection connection, Frame frame) {
        if (frame.hasLendAsk()) {
            lend(connection, frame.getLendAsk());
        }
        if (frame.hasLendAnswer()) {
            answered(frame.getLendAnswer());
        }
        Lender lending = lender;
        if (frame.hasTokensReturned() && lending != null) {
            TokensReturned returned = frame.getTokensReturned();
            lending.takeBack(returned.getAccount(), returned.getTokens());
        }
    }

    private void answered(LendAnswer answer) {
        Query query = asked.remove(answer.getQuery());
        if (query != null) {
            query.answered.accept(new Loan(answer.getTokens(), answer.getMoreSoon()));
            if (query.goOnOnce()) {
                metrics.lenderAsked(true);
            }
        }
    }

    private void lend(PeerConnection connection, LendAsk ask) {
        Lender lending = lender;
        if (lending == null || ask.getTokens() <= 0) {
            answer(connection, ask, new Loan(0, false));
        } else {
            lending.lend(ask.getAccount(), ask.getTokens(), loan -> answer(connection, ask, loan));
        }
    }

    private void answer(PeerConnection connection, LendAsk ask, Loan loan) {
        if (loan.tokens() > 0) {
            String to = connection.remote().name();
            log.line("tokens_lent", "account", ask.getAccount(), "tokens", loan.tokens(), "to", to);
        }
        LendAnswer answer = LendAnswer.newBuilder()
                .setQuery(ask.getQuery())
                .setTokens(loan.tokens())
                .setMoreSoon(loan.moreSoon())
                .build();
        connection.send(Frame.newBuilder().setLendAnswer(answer).build());
    }
}
