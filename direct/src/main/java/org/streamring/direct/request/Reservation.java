package org.streamring.direct.request;

import java.util.Optional;

/**
 * The prepaid tokens of one request, from the reservation to the settlement.
 *
 * <p>What an attempt without a whole answer used is not known, so it counts at its most.
 */
final class Reservation {
    private final TokenSource source;
    private final String account;
    private final TokenUse tokens;
    private boolean held;
    private boolean ran;
    private boolean unknownUse;
    private long answerTokens;

    Reservation(TokenSource source, String account, TokenUse tokens) {
        this.source = source;
        this.account = account;
        this.tokens = tokens;
    }

    static Optional<Reservation> of(TokenSource source, Optional<String> account, Optional<TokenUse> tokens) {
        return account.isPresent() && tokens.isPresent()
                ? Optional.of(new Reservation(source, account.get(), tokens.get()))
                : Optional.empty();
    }

    TokenSource.Pending reserve(java.util.function.Consumer<TokenSource.Outcome> then) {
        return source.reserve(account, tokens.most(), outcome -> {
            held = outcome == TokenSource.Outcome.RESERVED;
            then.accept(outcome);
        });
    }

    /** Notes an attempt that may have run. */
    void ran() {
        ran = true;
    }

    /** Notes tokens that were handed out. */
    void handedOut(long more) {
        answerTokens += more;
    }

    /** Notes an attempt that was given up here: what it handed out until it noticed is not known. */
    void givenUp(int moreEvents, int tokensPerEvent) {
        handedOut((long) moreEvents * tokensPerEvent);
    }

    /** Notes an attempt of which nobody knows how much it handed out. */
    void useUnknown() {
        unknownUse = true;
    }

    /** Tokens reserved, as long as they are held. */
    long reserved() {
        return held ? tokens.most() : 0;
    }

    /** Books the use; further calls have no effect. */
    void settle() {
        if (!held) {
            return;
        }
        held = false;
        source.settle(account, tokens.most(), used());
    }

    /** Tokens used so far, as far as that can be known. */
    long used() {
        if (!ran) {
            return 0;
        }
        return unknownUse ? tokens.most() : tokens.prompt() + Math.min(tokens.mostAnswer(), answerTokens);
    }
}
