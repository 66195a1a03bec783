package org.streamring.kernel.permit;

/**
 * What the owner of a server's permits answers.
 *
 * @param count permits granted
 * @param waitMillis if none was granted: when to ask again, in milliseconds from now
 */
public record PermitGrant(int count, long waitMillis) {
    /** None, for so long. */
    static PermitGrant none(long waitMillis) {
        return new PermitGrant(0, waitMillis);
    }
}
