package org.streamring.kernel.placement;

import java.util.List;

/**
 * What this entry knows of one replica: its health, the requests that it runs for this entry and, as far as they told,
 * for other entries, and the parts of prompts that it likely keeps. Confined to one thread.
 */
public final class ReplicaState {
    /** Long prompts of the last seconds tell how many more will come while a stream lasts. */
    private static final double RECENT_MILLIS = 3_000;
    /** Some thirty events, about a second of one stream, show a replica that turned slow. */
    private static final double GAP_STEP = 0.05;

    /** Time between two events before any was seen; a guess, which the first events replace. */
    static final double INITIAL_GAP_MILLIS = 30;

    private static final int GAPS_NEEDED = 20;

    private final ReplicaHealth health = new ReplicaHealth();
    private final KeptParts kept = new KeptParts();
    private final RunningMedian eventGap = new RunningMedian(INITIAL_GAP_MILLIS, GAP_STEP);
    private final OthersLoad others = new OthersLoad();
    private int running;
    private long unreadTokens;
    private double weightOfStreams;
    private double recentPauses;
    private long recentMillis;

    /** Notes a request that begins here. */
    PlacedPrompt started(
            PlacementQuery query,
            EngineSpeed speed,
            PlacementForecast forecast,
            double weight,
            long memoryTokens,
            long nowMillis) {
        Prompt prompt = query.prompt();
        boolean alone = forecast.unreadTokens() == 0;
        running++;
        unreadTokens += forecast.tokensToRead();
        weightOfStreams += weight;
        kept.read(prompt.parts(), memoryTokens);
        return new PlacedPrompt(this, speed, forecast, alone, weight, query.pauseMillis(), nowMillis);
    }

    /** Notes a prompt that another entry sent here. */
    void readForOther(List<PromptPart> parts, long memoryTokens) {
        kept.read(parts, memoryTokens);
    }

    /** Takes what another entry told of its requests here. */
    void told(String entry, ReplicaShare share, long nowMillis) {
        others.told(entry, share, nowMillis);
    }

    /** Forgets what another entry told. */
    void forget(String entry) {
        others.forget(entry);
    }

    /** This entry's part of the load. */
    ReplicaShare ownShare(long nowMillis) {
        return new ReplicaShare(running, unreadTokens, weightOfStreams, ownRecentPauses(nowMillis));
    }

    void promptRead(long tokens) {
        unreadTokens -= tokens;
    }

    void streamLost(double weight) {
        weightOfStreams -= weight;
    }

    void ended() {
        running--;
    }

    void eventGap(long millis) {
        eventGap.add((double) Math.max(1, millis));
    }

    /** Notes that a prompt placed here makes a pause for the streams beside it, with this probability. */
    void pauseCaused(double probability, long nowMillis) {
        recentPauses = ownRecentPauses(nowMillis) + probability;
        recentMillis = nowMillis;
    }

    private double ownRecentPauses(long nowMillis) {
        return recentPauses * Math.exp(-(nowMillis - recentMillis) / RECENT_MILLIS);
    }

    /** Pauses that prompts of all entries cause here, in a millisecond on average. */
    double pausesPerMilli(long nowMillis) {
        return (ownRecentPauses(nowMillis) + others.recentPauses()) / RECENT_MILLIS;
    }

    /** Tokens of a prompt that are not kept here. */
    long tokensToRead(Prompt prompt) {
        return Math.max(0, prompt.tokens() - kept.keptTokens(prompt.parts()));
    }

    /** Prompt tokens of all entries that were sent and are likely not yet read. */
    double unreadTokens(long nowMillis, double tokensPerMilli) {
        return unreadTokens + others.unreadTokens(nowMillis, tokensPerMilli);
    }

    /** Streams of all entries that a pause would make late, by weight. */
    double weightOfStreams() {
        return weightOfStreams + others.weightOfStreams();
    }

    /** Usual time between two events; 0 if too few came. */
    double eventGapMillis() {
        return eventGap.samples() < GAPS_NEEDED ? 0 : eventGap.value();
    }

    /** Notes a sound answer. */
    public void succeeded() {
        health.succeeded();
    }

    /** Notes an answer that the replica spoiled, or that never came. */
    public void failed(long nowMillis) {
        health.failed(nowMillis);
    }

    /** Notes that the replica can't be reached, or is silent. */
    public void unreachable(long nowMillis) {
        health.unreachable(nowMillis);
    }

    /** Whether the replica may get a request now; after an ejection one at a time until one succeeds. */
    public boolean usable(long nowMillis) {
        return health.usable(nowMillis, running == 0);
    }

    /** Attempts of all entries in progress, as far as they told. */
    int runningOfAll() {
        return running + others.running();
    }

    /** Attempts of this entry in progress. */
    public int running() {
        return running;
    }
}
