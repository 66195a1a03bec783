package org.streamring.kernel.suspect;

/**
 * Limits for blocking suspects that crash backend servers.
 *
 * @param requests limits for requests, which are recognized by their path, account and body
 * @param promptParts limits for parts of prompts
 * @param longestBlockMillis longest time for which a suspect is blocked before it is tried again
 * @param finalBlockMillis how long a suspect is blocked that is not tried again
 * @param keptMillis how long a crash is kept, if no block lasts longer; blocked parts of prompts, which many requests
 *     may hold, are kept for the final block
 * @param answerMillis how long a complete answer protects a request from being suspected in later crashes, and an
 *     answer counts as recent for a part of a prompt
 * @param mostSuspects maximum number of suspects kept with their crashes
 * @param mostAnswers maximum number of answered requests kept, and of answered parts
 */
public record SuspectLimits(
        BlockLimits requests,
        BlockLimits promptParts,
        long longestBlockMillis,
        long finalBlockMillis,
        long keptMillis,
        long answerMillis,
        int mostSuspects,
        int mostAnswers) {
    /**
     * Limits for fleets of any size. The first block of a part is shorter than that of a request, because many callers
     * share a part.
     */
    public static final SuspectLimits DEFAULT = new SuspectLimits(
            new BlockLimits(3, 5, 60_000, 60_000),
            new BlockLimits(3, 7, 20_000, 2_000),
            480_000,
            86_400_000,
            600_000,
            30_000,
            4_096,
            4_096);

    /** Returns the limits for one kind of suspects. */
    BlockLimits of(SuspectId suspect) {
        return suspect.kind() == SuspectId.Kind.PROMPT_PART ? promptParts : requests;
    }

    /** Returns how long a suspect is kept after its last crash, if its block is over by then. */
    long retentionMillis(SuspectId suspect, boolean isBlocked) {
        boolean blockedPart = isBlocked && suspect.kind() == SuspectId.Kind.PROMPT_PART;
        return blockedPart ? finalBlockMillis : keptMillis;
    }

    /**
     * Returns how long a suspect is blocked after its last crash or trial.
     *
     * @param sends number of crashes and of trials without a crash
     * @param answeredBefore whether the suspect was answered shortly before its first crash
     */
    long blockMillis(SuspectId suspect, int sends, boolean answeredBefore) {
        BlockLimits blockLimits = of(suspect);
        if (sends >= blockLimits.lastCrashes()) {
            return finalBlockMillis;
        }
        long first = answeredBefore ? blockLimits.firstBlockAfterAnswersMillis() : blockLimits.firstBlockMillis();
        int doublings = Math.min(Math.max(0, sends - blockLimits.crashes()), Long.SIZE / 4);
        return Math.min(longestBlockMillis, first << doublings);
    }
}
