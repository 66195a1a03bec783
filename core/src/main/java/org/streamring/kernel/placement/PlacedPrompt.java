package org.streamring.kernel.placement;

/**
 * One request at one replica, from its placement to its end: what it has to read there, and whether its stream could
 * still be made late by a pause. Confined to one thread.
 */
public final class PlacedPrompt {
    private final ReplicaState replica;
    private final EngineSpeed speed;
    private final long tokensToRead;
    private final boolean alone;
    private final double weight;
    private final long pauseMillis;
    private final long startedMillis;
    private final PlacementForecast forecast;
    private long newestEventMillis = -1;
    private boolean late;
    private boolean over;

    PlacedPrompt(
            ReplicaState replica,
            EngineSpeed speed,
            PlacementForecast forecast,
            boolean alone,
            double weight,
            long pauseMillis,
            long startedMillis) {
        this.replica = replica;
        this.speed = speed;
        this.forecast = forecast;
        this.tokensToRead = forecast.tokensToRead();
        this.alone = alone;
        this.weight = weight;
        this.pauseMillis = pauseMillis;
        this.startedMillis = startedMillis;
    }

    /** What was expected when the replica was chosen. */
    public PlacementForecast forecast() {
        return forecast;
    }

    /** Notes bytes of the answer: the prompt was read, or a further event came. */
    public void answered(long nowMillis) {
        if (over) {
            return;
        }
        if (newestEventMillis < 0) {
            replica.promptRead(tokensToRead);
            if (alone) {
                speed.learn(tokensToRead, (double) (nowMillis - startedMillis));
            }
        } else {
            pause(nowMillis - newestEventMillis);
        }
        newestEventMillis = nowMillis;
    }

    private void pause(long millis) {
        replica.eventGap(millis);
        if (millis > pauseMillis && !late) {
            late = true;
            replica.streamLost(weight);
        }
    }

    /** Notes the end, of whatever kind; further calls have no effect. */
    public void ended() {
        if (over) {
            return;
        }
        over = true;
        if (newestEventMillis < 0) {
            replica.promptRead(tokensToRead);
        } else {
            speed.pauses().ended(forecast.pauseProbability(), late);
            speed.held((double) (newestEventMillis - startedMillis));
        }
        if (!late) {
            replica.streamLost(weight);
        }
        replica.ended();
    }
}
