package org.streamring.kernel.prepaid;

/** Tries and refusals, and the tokens that they asked for. */
final class RequestTally {
    private int tries;
    private int refused;
    private long tokens;
    private long tokensRefused;

    void note(long asked, boolean served) {
        tries++;
        tokens += asked;
        if (!served) {
            refused++;
            tokensRefused += asked;
        }
    }

    double refusedShare() {
        return tries == 0 ? 0 : refused / (double) tries;
    }

    double refusedTokensShare() {
        return tokens == 0 ? 0 : tokensRefused / (double) tokens;
    }
}
