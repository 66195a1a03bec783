package org.streamring.kernel.placement;

/**
 * Expected cost of placing a request at a replica. It combines the probability that the request itself is late with the
 * probability that running streams become late because the replica delays them while it processes the new prompt.
 *
 * <p>The unit is one late request of the most urgent rank with 1,000 tokens. Confined to one thread.
 */
final class PlacementCost {
    private static final double TOKENS_PER_COST_UNIT = 1_000;
    /** Weight of a rank relative to the next more urgent one. */
    private static final double RANK_FACTOR = 0.4;
    /** Slope of the lateness probability around the target; 20 gives worse placements (docs/load.md). */
    private static final double LATENESS_SLOPE = 10;
    /**
     * Cost of waiting for one target time, in addition to the cost of being late, so that less waiting is preferred.
     */
    private static final double WAITING_COST = 0.3;
    /** Cost of processing 1,000 prompt tokens that are not cached, because this takes engine time from all requests. */
    private static final double READING_COST = 0.6;
    /** Cost of traffic between failure domains; small, so that it decides only between otherwise equal replicas. */
    private static final double OTHER_DOMAIN_COST = 0.002;

    /**
     * Fraction of the slots at which a replica counts as full. It is below 1 because requests that other entries
     * started since their last report are not counted.
     */
    static final double FULL_FRACTION = 0.75;

    private final EngineSpeed speed;
    private final long nowMillis;
    private final double typicalGapMillis;
    private final int tokensPerEvent;

    /**
     * Creates a cost function for the replicas of a service.
     *
     * @param typicalGapMillis usual time between two events at a typical replica
     */
    PlacementCost(EngineSpeed speed, double typicalGapMillis, int tokensPerEvent, long nowMillis) {
        this.speed = speed;
        this.nowMillis = nowMillis;
        this.typicalGapMillis = typicalGapMillis;
        this.tokensPerEvent = Math.max(1, tokensPerEvent);
    }

    /**
     * Returns the weight of a request, from the maximum number of tokens that its caller pays for and from its rank.
     */
    static double weight(PlacementQuery query) {
        double tokens = (double) query.prompt().tokens() + query.prompt().answerTokens();
        return tokens / TOKENS_PER_COST_UNIT * Math.pow(RANK_FACTOR, query.rank());
    }

    /**
     * Returns the cost of a request at a replica.
     *
     * @param slots number of requests that the replica processes concurrently
     */
    double of(PlacementQuery query, ReplicaState replica, int slots, boolean sameDomain) {
        long tokens = replica.tokensToRead(query.prompt());
        double ownWaitingCost = waitingCost(query, replica, slots, tokens);
        double ownPauseProbability = speed.pauses().factor() * streamPauseProbability(query, replica);
        double ownCost = weight(query) * (ownWaitingCost + Math.min(1, ownPauseProbability));
        double otherStreamsCost =
                replica.weightOfStreams() * speed.pauses().factor() * pauseAdded(query, replica, tokens);
        double readingCost = READING_COST * tokens / TOKENS_PER_COST_UNIT;
        return ownCost + otherStreamsCost + readingCost + (sameDomain ? 0 : OTHER_DOMAIN_COST);
    }

    /** Returns the increase in the probability that running streams pause for too long, caused by a new prompt. */
    double pauseAdded(PlacementQuery query, ReplicaState replica, long tokens) {
        double before = unreadTokens(replica);
        return pauseProbability(query, replica, before + tokens) - pauseProbability(query, replica, before);
    }

    private double pauseProbability(PlacementQuery query, ReplicaState replica, double tokens) {
        double millis = readingMillis(replica, tokens) + gapMillis(replica);
        return lateProbability(millis / Math.max(1, query.pauseMillis()));
    }

    /** Returns the forecast for a request at a replica. */
    PlacementForecast forecast(PlacementQuery query, ReplicaState replica, int slots) {
        long tokens = replica.tokensToRead(query.prompt());
        return new PlacementForecast(
                tokens,
                (long) unreadTokens(replica),
                (long) firstEventMillis(replica, slots, tokens),
                streamPauseProbability(query, replica));
    }

    private double streamPauseProbability(PlacementQuery query, ReplicaState replica) {
        return 1 - Math.exp(-replica.pausesPerMilli(nowMillis) * streamMillis(query, replica));
    }

    private double firstEventMillis(ReplicaState replica, int slots, long tokens) {
        return speed.firstEventMillis()
                + slotWaitMillis(replica, slots)
                + readingMillis(replica, unreadTokens(replica) + tokens);
    }

    /**
     * Returns the expected time until a slot is free. Without this term, 89 of 2,057 short prompts from 33 entries
     * waited 0.8 to 1.9 s at the replica that had their common prefix in its cache, while other replicas were one third
     * full.
     */
    private double slotWaitMillis(ReplicaState replica, int slots) {
        double ahead = replica.runningOfAll() + 1 - slots * FULL_FRACTION;
        return Math.max(0, ahead) * speed.streamMillis() / Math.max(1, slots);
    }

    private double waitingCost(PlacementQuery query, ReplicaState replica, int slots, long tokens) {
        double fractionOfTarget = firstEventMillis(replica, slots, tokens) / Math.max(1, query.firstEventMillis());
        return lateProbability(fractionOfTarget) + WAITING_COST * fractionOfTarget;
    }

    private static double lateProbability(double fractionOfTarget) {
        return 1 / (1 + Math.exp(-LATENESS_SLOPE * (fractionOfTarget - 1)));
    }

    private double unreadTokens(ReplicaState replica) {
        return replica.unreadTokens(nowMillis, speed.tokensPerMilli());
    }

    /** Returns the time that a replica takes to process prompt tokens. */
    double readingMillis(ReplicaState replica, double tokens) {
        return tokens / speed.tokensPerMilli() * slowness(replica);
    }

    private double streamMillis(PlacementQuery query, ReplicaState replica) {
        double events = (double) query.prompt().likelyAnswerTokens() / tokensPerEvent;
        return events * gapMillis(replica);
    }

    private double gapMillis(ReplicaState replica) {
        double ownGapMillis = replica.eventGapMillis();
        return ownGapMillis > 0 ? ownGapMillis : typicalGapMillis;
    }

    private double slowness(ReplicaState replica) {
        double ownGapMillis = replica.eventGapMillis();
        return ownGapMillis > 0 ? ownGapMillis / typicalGapMillis : 1;
    }
}
