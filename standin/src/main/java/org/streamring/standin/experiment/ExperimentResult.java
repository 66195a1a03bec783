package org.streamring.standin.experiment;

/**
 * What an experiment counted.
 *
 * @param scenario name of the scenario
 * @param variant name of the settings
 * @param requests requests made
 * @param falseRefusals refused although tokens remained anywhere
 * @param outOfReach false refusals for which neither the table nor any entry in reach had enough in one place
 * @param refusals all refusals
 * @param overspentTokens tokens run beyond the budget
 * @param unbilledTokens tokens run that neither bills nor held tokens cover
 * @param doubleBills attempts billed more than once
 * @param transactions store transactions
 * @param settleLagMillis sum of the times from the end of a request to its settlement
 * @param settled settled requests
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

    private static final double THOUSAND = 1000.0;

    /** False refusals per 1,000 requests. */
    public double falsePerThousand() {
        return THOUSAND * falseRefusals / Math.max(1, requests);
    }

    /** Store transactions per 1,000 requests. */
    public double transactionsPerThousand() {
        return THOUSAND * transactions / Math.max(1, requests);
    }

    /** Mean time from the end of a request to its settlement, in seconds. */
    public double settleLagSeconds() {
        return settleLagMillis / THOUSAND / Math.max(1, settled);
    }

    /** Sums results of several seeds. */
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
