package org.streamring.direct.caller;

/** Why a connection of a caller ended. */
public enum ConnectionEnd {
    /** The caller closed it. */
    CALLER_CLOSED,
    /** Reading from it failed. */
    READ_FAILED,
    /** Writing to it failed. */
    WRITE_FAILED,
    /** This entry gave up an answer that it had begun. */
    ABORTED,
    /** This entry closed it after an answer that said so. */
    LAST_ANSWER,
    /** It was idle for longer than the idle timeout. */
    IDLE,
    /** This entry stops. */
    STOPPING,
    /** The time for a graceful stop was over. */
    STOP_TIMED_OUT
}
