package org.streamring.kernel.permit;

/**
 * Request for permits, sent to their owner.
 *
 * @param news limit of the server, as last recorded by the requesting entry
 * @param wanted number of requests that wait for a permit
 */
public record PermitAsk(LimitNews news, int wanted) {
    /** Returns the incarnation of the server. */
    public String incarnation() {
        return news.incarnation();
    }
}
