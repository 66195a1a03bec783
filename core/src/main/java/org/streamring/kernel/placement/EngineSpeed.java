package org.streamring.kernel.placement;

/**
 * How fast the replicas of a service read prompts and begin to answer, learned from first events.
 *
 * <p>Only prompts that met no other unread prompt of this entry tell something; others may still have waited for
 * prompts of other entries, so the median is followed and not the mean. Confined to one thread.
 */
final class EngineSpeed {
    /** Between the two speeds, 57 and 32, of the engines on which this was measured first. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;
    /** Time to the first event of a short prompt on the same engines: 70 to 115 ms. */
    private static final double INITIAL_FIRST_EVENT_MILLIS = 80;
    /** After some ten samples the initial value no longer matters. */
    private static final double STEP = 0.06;
    /** Reading this much takes long enough to be told from the time that each request takes. */
    private static final long LONG_PROMPT_TOKENS = 2_000;

    private static final long SHORT_PROMPT_TOKENS = 500;

    /** Streams of some seventy events, 30 ms apart, on the same engines. */
    private static final double INITIAL_STREAM_MILLIS = 2_000;

    private final PauseCalibration pauses = new PauseCalibration();
    private final RunningMedian tokensPerMilli = new RunningMedian(INITIAL_TOKENS_PER_MILLI, STEP);
    private final RunningMedian firstEventMillis = new RunningMedian(INITIAL_FIRST_EVENT_MILLIS, STEP);
    private final RunningMedian streamMillis = new RunningMedian(INITIAL_STREAM_MILLIS, STEP);

    /** Notes the time to the first event of a prompt that met no unread one. */
    void learn(long tokensRead, double millis) {
        if (tokensRead <= SHORT_PROMPT_TOKENS) {
            firstEventMillis.add(Math.max(1, millis));
        } else if (tokensRead >= LONG_PROMPT_TOKENS && millis > firstEventMillis.value()) {
            tokensPerMilli.add(tokensRead / (millis - firstEventMillis.value()));
        }
    }

    /** Notes how long a request held its slot. */
    void held(double millis) {
        streamMillis.add(Math.max(1, millis));
    }

    /** How long requests usually hold their slots. */
    double streamMillis() {
        return streamMillis.value();
    }

    /** How often pauses come in comparison with forecasts. */
    PauseCalibration pauses() {
        return pauses;
    }

    double tokensPerMilli() {
        return tokensPerMilli.value();
    }

    double firstEventMillis() {
        return firstEventMillis.value();
    }
}
