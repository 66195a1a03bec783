package org.streamring.kernel.placement;

import java.util.List;

/**
 * State of one replica as seen by this entry: its health, the requests that it runs for this entry and, according to
 * their reports, for other entries, and the prompt parts that are probably in its cache. Confined to one thread.
 */
public final class ReplicaState {
    /** Decay time of the count of recent pauses, which predicts how many pauses occur during a stream. */
    private static final double PAUSE_DECAY_MILLIS = 3_000;
    /** A replica that became slow is detected after some 30 events, about one second of one stream. */
    private static final double EVENT_GAP_STEP = 0.05;

    /** Assumed time between two events until events have arrived. */
    static final double INITIAL_GAP_MILLIS = 30;

    private static final int MIN_GAP_SAMPLES = 20;

    private final ReplicaHealth health = new ReplicaHealth();
    private final CachedPromptParts cachedParts = new CachedPromptParts();
    private final RunningMedian eventGap = new RunningMedian(INITIAL_GAP_MILLIS, EVENT_GAP_STEP);
    private final PeerLoad peers = new PeerLoad();
    private int running;
    private int silentAttempts;
    private long unreadTokens;
    private double weightOfStreams;
    private double recentPauses;
    private long recentPausesUpdatedMillis;

    /** Records a request that starts at this replica. */
    PlacedPrompt started(
            PlacementQuery query,
            EngineSpeed speed,
            PlacementForecast forecast,
            double weight,
            long memoryTokens,
            long nowMillis) {
        Prompt prompt = query.prompt();
        boolean noPromptAhead = forecast.pendingPromptTokens() == 0;
        running++;
        unreadTokens += forecast.uncachedTokens();
        weightOfStreams += weight;
        cachedParts.add(prompt.parts(), memoryTokens);
        return new PlacedPrompt(this, speed, forecast, noPromptAhead, weight, query.pauseMillis(), nowMillis);
    }

    /** Records a prompt that another entry sent to this replica. */
    void recordPeerPrompt(List<PromptPart> parts, long memoryTokens) {
        cachedParts.add(parts, memoryTokens);
    }

    /** Sets the load that another entry reported for this replica. */
    void setPeerShare(String entry, ReplicaShare share, long nowMillis) {
        peers.setShare(entry, share, nowMillis);
    }

    /** Removes the load that another entry reported. */
    void forget(String entry) {
        peers.forget(entry);
    }

    /** Returns the part of the load that this entry causes. */
    ReplicaShare ownShare(long nowMillis) {
        return new ReplicaShare(running, unreadTokens, weightOfStreams, ownRecentPauses(nowMillis));
    }

    void promptRead(long tokens) {
        unreadTokens -= tokens;
    }

    void removeStreamWeight(double weight) {
        weightOfStreams -= weight;
    }

    void ended() {
        running--;
    }

    void eventGap(long millis) {
        eventGap.add((double) Math.max(1, millis));
    }

    /**
     * Records a prompt that is sent to this replica while other streams run there.
     *
     * @param probability probability that these streams pause for too long because of the prompt
     */
    void recordPause(double probability, long nowMillis) {
        recentPauses = ownRecentPauses(nowMillis) + probability;
        recentPausesUpdatedMillis = nowMillis;
    }

    private double ownRecentPauses(long nowMillis) {
        return recentPauses * Math.exp(-(nowMillis - recentPausesUpdatedMillis) / PAUSE_DECAY_MILLIS);
    }

    /** Returns the average number of pauses per millisecond that prompts of all entries cause at this replica. */
    double pausesPerMilli(long nowMillis) {
        return (ownRecentPauses(nowMillis) + peers.recentPauses()) / PAUSE_DECAY_MILLIS;
    }

    /** Returns the number of tokens of a prompt that are not in the cache of this replica. */
    long tokensToRead(Prompt prompt) {
        return Math.max(0, prompt.tokens() - cachedParts.cachedTokens(prompt.parts()));
    }

    /** Returns the estimated number of prompt tokens of all entries that were sent and are not yet processed. */
    double unreadTokens(long nowMillis, double tokensPerMilli) {
        return unreadTokens + peers.unreadTokens(nowMillis, tokensPerMilli);
    }

    /** Returns the total weight of the streams of all entries that a pause would make late. */
    double weightOfStreams() {
        return weightOfStreams + peers.weightOfStreams();
    }

    /** Returns the median time between two events; 0 until enough events have arrived. */
    double eventGapMillis() {
        return eventGap.samples() < MIN_GAP_SAMPLES ? 0 : eventGap.value();
    }

    /** Records a successful answer. */
    public void succeeded() {
        health.succeeded();
    }

    /** Records an answer that the replica failed to give or gave incorrectly. */
    public void failed(long nowMillis) {
        health.failed(nowMillis);
    }

    /** Records that an attempt in progress is silent. */
    public void attemptSilent() {
        silentAttempts++;
    }

    /** Records that a silent attempt was heard again or has ended. */
    public void attemptNoLongerSilent() {
        silentAttempts--;
    }

    /** Records that the replica is silent on all connections. Called once for each attempt that finds it so. */
    public void silent(long nowMillis) {
        health.silent(nowMillis);
    }

    /** Records that something arrived from the replica. */
    public void heard() {
        health.heard();
    }

    /** Records that the replica cannot be reached. */
    public void unreachable(long nowMillis) {
        health.unreachable(nowMillis);
    }

    /**
     * Returns whether the replica may receive a request now; after an ejection, one at a time until one succeeds.
     * Attempts that are silent do not count: their connections may have failed while the replica serves others.
     */
    public boolean usable(long nowMillis) {
        return health.usable(nowMillis, running <= silentAttempts);
    }

    /** Returns the number of attempts of all entries in progress, according to their latest reports. */
    int runningOfAll() {
        return running + peers.running();
    }

    /** Returns the number of attempts of this entry in progress. */
    public int running() {
        return running;
    }
}
