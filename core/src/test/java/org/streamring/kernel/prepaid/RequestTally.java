package org.streamring.kernel.prepaid;

/** Counts attempted and refused requests and the tokens that they asked for. */
final class RequestTally {
    private int attempted;
    private int refused;
    private long tokens;
    private long tokensRefused;

    void count(long asked, boolean served) {
        attempted++;
        tokens += asked;
        if (!served) {
            refused++;
            tokensRefused += asked;
        }
    }

    double refusedShare() {
        return attempted == 0 ? 0 : refused / (double) attempted;
    }

    double refusedTokensShare() {
        return tokens == 0 ? 0 : tokensRefused / (double) tokens;
    }
}
