package org.streamring.kernel.placement;

/**
 * What is lost, on average, by placing a request at a replica: how likely the request itself becomes late there, and
 * how likely the streams that run there do because their steps wait while its prompt is read.
 *
 * <p>The unit is one request of the most urgent rank and of a thousand tokens that is late. Confined to one thread.
 */
final class PlacementCost {
    private static final double TOKENS_OF_UNIT = 1_000;
    /** What a rank counts in comparison with the next more urgent one. */
    private static final double RANK_FACTOR = 0.4;
    /** How sharply a request becomes late near its target; 10 was tried against 20, which was worse (docs/load.md). */
    private static final double STEEPNESS = 10;
    /** Beyond lateness each target's length of waiting costs a little, so that less waiting is always better. */
    private static final double WAITING_COST = 0.3;
    /** Reading a part that another replica keeps takes engine time from everyone: as if so much of it were late. */
    private static final double READING_COST = 0.6;
    /** Bytes between failure domains have a price, which only decides between equals. */
    private static final double OTHER_DOMAIN_COST = 0.002;

    /** What other entries started since they last told is not known; a replica counts as full before it is. */
    static final double FULL_PART = 0.75;

    private final EngineSpeed speed;
    private final long nowMillis;
    private final double typicalGapMillis;
    private final int tokensPerEvent;

    /**
     * Creates one for the replicas of a service.
     *
     * @param typicalGapMillis usual time between two events at a typical replica
     */
    PlacementCost(EngineSpeed speed, double typicalGapMillis, int tokensPerEvent, long nowMillis) {
        this.speed = speed;
        this.nowMillis = nowMillis;
        this.typicalGapMillis = typicalGapMillis;
        this.tokensPerEvent = Math.max(1, tokensPerEvent);
    }

    /** How much a request counts: by what its caller pays for it at most, and by its rank. */
    static double weight(PlacementQuery query) {
        double tokens = (double) query.prompt().tokens() + query.prompt().answerTokens();
        return tokens / TOKENS_OF_UNIT * Math.pow(RANK_FACTOR, query.rank());
    }

    /**
     * Cost of a request at a replica.
     *
     * @param slots requests that the replica works on at once
     */
    double of(PlacementQuery query, ReplicaState replica, int slots, boolean sameDomain) {
        long tokens = replica.tokensToRead(query.prompt());
        double waiting = lateness(query, replica, slots, tokens);
        double paused = speed.pauses().factor() * paused(query, replica);
        double own = weight(query) * (waiting + Math.min(1, paused));
        double others = replica.weightOfStreams() * speed.pauses().factor() * pauseAdded(query, replica, tokens);
        double reading = READING_COST * tokens / TOKENS_OF_UNIT;
        return own + others + reading + (sameDomain ? 0 : OTHER_DOMAIN_COST);
    }

    /** Probability that the streams beside a prompt pause for too long because of it, and would not have before. */
    double pauseAdded(PlacementQuery query, ReplicaState replica, long tokens) {
        double before = unread(replica);
        return pauseProbability(query, replica, before + tokens) - pauseProbability(query, replica, before);
    }

    private double pauseProbability(PlacementQuery query, ReplicaState replica, double tokens) {
        double millis = readingMillis(replica, tokens) + gapMillis(replica);
        return late(millis / Math.max(1, query.pauseMillis()));
    }

    /** What is to be expected of a request at a replica. */
    PlacementForecast forecast(PlacementQuery query, ReplicaState replica, int slots) {
        long tokens = replica.tokensToRead(query.prompt());
        return new PlacementForecast(
                tokens,
                (long) unread(replica),
                (long) firstEventMillis(replica, slots, tokens),
                paused(query, replica));
    }

    private double paused(PlacementQuery query, ReplicaState replica) {
        return 1 - Math.exp(-replica.pausesPerMilli(nowMillis) * streamMillis(query, replica));
    }

    private double firstEventMillis(ReplicaState replica, int slots, long tokens) {
        return speed.firstEventMillis()
                + slotWaitMillis(replica, slots)
                + readingMillis(replica, unread(replica) + tokens);
    }

    /**
     * Time until a slot is free. Without it 89 of 2,057 short questions of 33 entries waited for 0.8 to 1.9 s at the
     * replica that keeps their beginning, beside others that were a third full.
     */
    private double slotWaitMillis(ReplicaState replica, int slots) {
        double ahead = replica.runningOfAll() + 1 - slots * FULL_PART;
        return Math.max(0, ahead) * speed.streamMillis() / Math.max(1, slots);
    }

    private double lateness(PlacementQuery query, ReplicaState replica, int slots, long tokens) {
        double part = firstEventMillis(replica, slots, tokens) / Math.max(1, query.firstEventMillis());
        return late(part) + WAITING_COST * part;
    }

    private static double late(double partOfTarget) {
        return 1 / (1 + Math.exp(-STEEPNESS * (partOfTarget - 1)));
    }

    private double unread(ReplicaState replica) {
        return replica.unreadTokens(nowMillis, speed.tokensPerMilli());
    }

    /** Time in which a replica reads tokens. */
    double readingMillis(ReplicaState replica, double tokens) {
        return tokens / speed.tokensPerMilli() * slowness(replica);
    }

    private double streamMillis(PlacementQuery query, ReplicaState replica) {
        double events = (double) query.prompt().likelyAnswerTokens() / tokensPerEvent;
        return events * gapMillis(replica);
    }

    private double gapMillis(ReplicaState replica) {
        double own = replica.eventGapMillis();
        return own > 0 ? own : typicalGapMillis;
    }

    private double slowness(ReplicaState replica) {
        double own = replica.eventGapMillis();
        return own > 0 ? own / typicalGapMillis : 1;
    }
}
