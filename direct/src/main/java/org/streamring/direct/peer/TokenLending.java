package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.ledger.Lenders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.LendAnswer;
import org.streamring.net.generated.Wire.LendAsk;
import org.streamring.net.generated.Wire.TokensReturned;
import org.streamring.net.peer.PeerConnection;

/**
 * Borrows tokens from other entries, and answers their loan requests, over the connections between entries.
 *
 * <p>If an answer is lost, its tokens count as used by the lender. Confined to the event loop.
 */
public final class TokenLending implements Lenders {
    private static final int MAX_LENDERS_ASKED = 4;
    private static final long ANSWER_TIMEOUT_MILLIS = 60;
    private static final long LATE_ANSWER_MILLIS = 5_000;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final HomeEntries homeEntries;
    private final Random random;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final Map<Long, LoanQuery> openQueries = new HashMap<>();
    private @Nullable Lender lender;
    private long nextQueryId;

    /**
     * Creates an instance; no tokens are lent before {@link #start}.
     *
     * @param homeEntries home entries, which hold the leases of an account
     */
    public TokenLending(
            EventLoop loop,
            EntryPeers peers,
            HomeEntries homeEntries,
            Random random,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loop = loop;
        this.peers = peers;
        this.homeEntries = homeEntries;
        this.random = random;
        this.metrics = metrics;
        this.log = log;
    }

    /** Starts answering loan requests of other entries. */
    public void start(Lender ownLender) {
        lender = ownLender;
        peers.listen(this::received);
    }

    @Override
    public void ask(
            String account, LongSupplier lacking, LongConsumer lent, Consumer<Answers> atEnd, Runnable promisedLate) {
        new LoanRound(account, lacking, lent, atEnd, promisedLate).askNext();
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
        return shuffled(homeEntries.of(account).stream()
                .map(byEntry::get)
                .filter(Objects::nonNull)
                .toList());
    }

    /**
     * Returns the entries to ask: home entries of the account first, then others. Both groups are shuffled, so that the
     * home entries share the demand.
     */
    private List<PeerConnection> lenders(String account) {
        Map<String, PeerConnection> byEntry = peers.byEntry();
        List<PeerConnection> order = connectedHomes(account);
        homeEntries.of(account).forEach(byEntry::remove);
        order.addAll(shuffled(byEntry.values()));
        return order.subList(0, Math.min(MAX_LENDERS_ASKED, order.size()));
    }

    private List<PeerConnection> shuffled(Collection<PeerConnection> entries) {
        List<PeerConnection> order = new ArrayList<>(entries);
        Collections.shuffle(order, random);
        return order;
    }

    /** Loan queries for one request, which are sent to one lender after the other. */
    private final class LoanRound {
        private final String account;
        private final LongSupplier lacking;
        private final LongConsumer lent;
        private final Consumer<Answers> atEnd;
        private final Runnable promisedLate;
        private final Deque<PeerConnection> remainingLenders;
        private final Set<PeerConnection> unanswered = new HashSet<>();
        private int askedCount;
        private int answeredCount;
        private boolean homeAnswered;
        private boolean moreSoon;
        private boolean ended;

        private LoanRound(
                String account,
                LongSupplier lacking,
                LongConsumer lent,
                Consumer<Answers> atEnd,
                Runnable promisedLate) {
            this.account = account;
            this.lacking = lacking;
            this.lent = lent;
            this.atEnd = atEnd;
            this.promisedLate = promisedLate;
            this.remainingLenders = new ArrayDeque<>(lenders(account));
        }

        private void askNext() {
            long tokens = lacking.getAsLong();
            PeerConnection next = tokens > 0 ? remainingLenders.pollFirst() : null;
            if (next == null) {
                ended = true;
                atEnd.accept(new Answers(askedCount, answeredCount, homeAnswered, moreSoon, this::lateAnswerExpected));
                return;
            }
            askedCount++;
            long queryId = nextQueryId++;
            unanswered.add(next);
            openQueries.put(queryId, new LoanQuery(loan -> answered(next, loan), this::askNext));
            loop.schedule(() -> continueRound(queryId), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            loop.schedule(() -> openQueries.remove(queryId), LATE_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            LendAsk ask = LendAsk.newBuilder()
                    .setQuery(queryId)
                    .setAccount(account)
                    .setTokens(tokens)
                    .build();
            if (!next.send(Frame.newBuilder().setLendAsk(ask).build())) {
                continueRound(queryId);
            }
        }

        private boolean lateAnswerExpected() {
            return unanswered.stream().anyMatch(PeerConnection::isOpen);
        }

        private void answered(PeerConnection from, Loan loan) {
            boolean home = homeEntries.of(account).contains(from.remote().name());
            unanswered.remove(from);
            answeredCount++;
            homeAnswered |= home;
            moreSoon |= home && loan.moreSoon();
            if (loan.tokens() > 0) {
                lent.accept(loan.tokens());
            }
            if (ended && home && loan.moreSoon()) {
                promisedLate.run();
            }
        }
    }

    private void continueRound(long queryId) {
        LoanQuery query = openQueries.get(queryId);
        if (query != null && query.continueOnce()) {
            metrics.lenderRequestEnded(false);
        }
    }

    /** Loan query that was sent. Tokens that arrive after the next query was sent are accepted as well. */
    private static final class LoanQuery {
        private final Consumer<Loan> answered;
        private final Runnable next;
        private boolean continued;

        private LoanQuery(Consumer<Loan> answered, Runnable next) {
            this.answered = answered;
            this.next = next;
        }

        /** Continues with the next lender at the first call, and returns whether this was the first call. */
        private boolean continueOnce() {
            boolean first = !continued;
            continued = true;
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
        LoanQuery query = openQueries.remove(answer.getQuery());
        if (query != null) {
            query.answered.accept(new Loan(answer.getTokens(), answer.getMoreSoon()));
            if (query.continueOnce()) {
                metrics.lenderRequestEnded(true);
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
