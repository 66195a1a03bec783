package org.streamring.kernel.permit;

/**
 * Request for permits, sent to their owner.
 *
 * @param update limit of the server, as last recorded by the requesting entry
 * @param wanted number of requests that wait for a permit
 */
public record PermitAsk(LimitNews update, int wanted) {
    /** Returns the incarnation of the server. */
    public String incarnation() {
        return update.incarnation();
    }
}
