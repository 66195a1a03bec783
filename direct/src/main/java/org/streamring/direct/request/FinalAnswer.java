package org.streamring.direct.request;

/**
 * How a request ends: the outcome that is logged, and the answer to the caller.
 *
 * @param outcome name of the outcome in logs and metrics
 * @param status HTTP status; 0 if a stream is broken off
 * @param writing sends the answer to the caller, or breaks off the one that was begun
 */
record FinalAnswer(String outcome, int status, Runnable writing) {}
