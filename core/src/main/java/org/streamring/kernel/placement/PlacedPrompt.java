package org.streamring.kernel.placement;

/**
 * One request at one replica, from its placement to its end. Tracks the prompt tokens that the replica still has to
 * process, and whether a pause made the stream late. Confined to one thread.
 */
public final class PlacedPrompt {
    private final ReplicaState replica;
    private final EngineSpeed speed;
    private final long tokensToRead;
    private final boolean noPromptAhead;
    private final double weight;
    private final long pauseMillis;
    private final long startedMillis;
    private final PlacementForecast forecast;
    private long lastEventMillis = -1;
    private boolean late;
    private boolean ended;

    PlacedPrompt(
            ReplicaState replica,
            EngineSpeed speed,
            PlacementForecast forecast,
            boolean noPromptAhead,
            double weight,
            long pauseMillis,
            long startedMillis) {
        this.replica = replica;
        this.speed = speed;
        this.forecast = forecast;
        this.tokensToRead = forecast.uncachedTokens();
        this.noPromptAhead = noPromptAhead;
        this.weight = weight;
        this.pauseMillis = pauseMillis;
        this.startedMillis = startedMillis;
    }

    /** Returns the forecast made when the replica was chosen. */
    public PlacementForecast forecast() {
        return forecast;
    }

    /**
     * Records received bytes of the answer: the first ones show that the prompt was processed, later ones are events.
     */
    public void answered(long nowMillis) {
        if (ended) {
            return;
        }
        if (lastEventMillis < 0) {
            replica.promptRead(tokensToRead);
            if (noPromptAhead) {
                speed.addFirstEvent(tokensToRead, (double) (nowMillis - startedMillis));
            }
        } else {
            recordGap(nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
    }

    private void recordGap(long millis) {
        replica.eventGap(millis);
        if (millis > pauseMillis && !late) {
            late = true;
            replica.removeStreamWeight(weight);
        }
    }

    /** Records the end of the request, successful or not; further calls have no effect. */
    public void ended() {
        if (ended) {
            return;
        }
        ended = true;
        if (lastEventMillis < 0) {
            replica.promptRead(tokensToRead);
        } else {
            speed.pauses().ended(forecast.pauseProbability(), late);
            speed.addSlotTime((double) (lastEventMillis - startedMillis));
        }
        if (!late) {
            replica.removeStreamWeight(weight);
        }
        replica.ended();
    }
}
