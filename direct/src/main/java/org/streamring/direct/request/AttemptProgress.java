package org.streamring.direct.request;

/**
 * How far the answer to an attempt had come.
 *
 * @param begun whether the head of the answer was received
 * @param events number of events passed on
 */
record AttemptProgress(boolean begun, int events) {
    /** Nothing was received. */
    static final AttemptProgress NONE = new AttemptProgress(false, 0);
}
