package org.streamring.standin.experiment;

/**
 * Counts of a ledger experiment.
 *
 * @param scenario name of the scenario
 * @param variant name of the ledger settings
 * @param requests number of requests
 * @param falseRefusals requests refused although the budget still had enough unspent tokens
 * @param outOfReach false refusals for which neither the table nor a single reachable entry had enough tokens
 * @param refusals number of all refusals
 * @param overspentTokens tokens spent in excess of the budget
 * @param unbilledTokens difference between settled and billed tokens, plus the number of attempts billed with a wrong
 *     number of tokens
 * @param doubleBills number of repeated bills for an attempt
 * @param transactions number of store transactions
 * @param settleLagMillis sum of the times from the end of each request to its settlement
 * @param settled number of settled requests
 */
public record ExperimentResult(
        String scenario,
        String variant,
        long requests,
        long falseRefusals,
        long outOfReach,
        long refusals,
        long overspentTokens,
        long unbilledTokens,
        long doubleBills,
        long transactions,
        long settleLagMillis,
        long settled) {

    private static final double PER_THOUSAND = 1000.0;

    /** Returns the false refusals per 1,000 requests. */
    public double falseRefusalsPerThousand() {
        return PER_THOUSAND * falseRefusals / Math.max(1, requests);
    }

    /** Returns the store transactions per 1,000 requests. */
    public double transactionsPerThousand() {
        return PER_THOUSAND * transactions / Math.max(1, requests);
    }

    /** Returns the mean time in seconds from the end of a request to its settlement. */
    public double settleLagSeconds() {
        return settleLagMillis / PER_THOUSAND / Math.max(1, settled);
    }

    /** Returns the sum of this result and the result of another seed. */
    public ExperimentResult plus(ExperimentResult other) {
        return new ExperimentResult(
                scenario,
                variant,
                requests + other.requests,
                falseRefusals + other.falseRefusals,
                outOfReach + other.outOfReach,
                refusals + other.refusals,
                overspentTokens + other.overspentTokens,
                unbilledTokens + other.unbilledTokens,
                doubleBills + other.doubleBills,
                transactions + other.transactions,
                settleLagMillis + other.settleLagMillis,
                settled + other.settled);
    }
}
