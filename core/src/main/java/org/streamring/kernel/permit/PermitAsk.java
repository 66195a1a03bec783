package org.streamring.kernel.permit;

/**
 * A question for permits.
 *
 * @param news the limit, as the asking entry last heard it
 * @param wanted requests that wait for a permit
 */
public record PermitAsk(LimitNews news, int wanted) {
    /** The server. */
    public String incarnation() {
        return news.incarnation();
    }
}
