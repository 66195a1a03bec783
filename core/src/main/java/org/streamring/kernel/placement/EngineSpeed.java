package org.streamring.kernel.placement;

/**
 * Estimates how fast the replicas of a service process prompts and start to answer, from the times of first events.
 *
 * <p>Uses only prompts that did not wait for another prompt of this entry. They may still have waited for prompts of
 * other entries, so the estimates are medians instead of means. Confined to one thread.
 */
final class EngineSpeed {
    /** Reference engines process 32 and 57 tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;
    /** Reference engines send the first event of a short prompt after 70 to 115 ms. */
    private static final double INITIAL_FIRST_EVENT_MILLIS = 80;
    /** The initial value has little effect after some ten samples. */
    private static final double STEP = 0.06;
    /** Processing this many tokens takes long enough to be distinguished from the fixed time of each request. */
    private static final long LONG_PROMPT_TOKENS = 2_000;

    private static final long SHORT_PROMPT_TOKENS = 500;

    /** Reference streams have some 70 events, 30 ms apart. */
    private static final double INITIAL_STREAM_MILLIS = 2_000;

    private final PauseCalibration pauses = new PauseCalibration();
    private final RunningMedian tokensPerMilli = new RunningMedian(INITIAL_TOKENS_PER_MILLI, STEP);
    private final RunningMedian firstEventMillis = new RunningMedian(INITIAL_FIRST_EVENT_MILLIS, STEP);
    private final RunningMedian streamMillis = new RunningMedian(INITIAL_STREAM_MILLIS, STEP);

    /** Adds the time to the first event of a prompt that did not wait for another one. */
    void addFirstEvent(long tokensRead, double millis) {
        if (tokensRead <= SHORT_PROMPT_TOKENS) {
            firstEventMillis.add(Math.max(1, millis));
        } else if (tokensRead >= LONG_PROMPT_TOKENS && millis > firstEventMillis.value()) {
            tokensPerMilli.add(tokensRead / (millis - firstEventMillis.value()));
        }
    }

    /** Adds the time for which a request occupied its slot. */
    void addSlotTime(double millis) {
        streamMillis.add(Math.max(1, millis));
    }

    /** Returns the median time for which requests occupy their slots. */
    double streamMillis() {
        return streamMillis.value();
    }

    /** Returns the ratio between observed and forecast pauses. */
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
