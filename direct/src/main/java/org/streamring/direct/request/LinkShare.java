package org.streamring.direct.request;

import java.util.function.LongSupplier;
import org.streamring.kernel.admission.LinkPace;
import org.streamring.kernel.admission.LinkPace.Traffic;

/** What one request adds to the link of this box each time it is sent. Confined to the event loop. */
final class LinkShare {
    /** About what a request's line and headers take. */
    private static final long HEAD_BYTES = 600;

    private final LinkPace link;
    private final LongSupplier clock;
    private final long bytes;

    LinkShare(LinkPace link, LongSupplier clock, int bodyBytes) {
        this.link = link;
        this.clock = clock;
        this.bytes = HEAD_BYTES + bodyBytes;
    }

    /** Time until the request may be sent; 0 if it may now. */
    long closedMillis() {
        return link.closedMillis(bytes, clock.getAsLong());
    }

    /** The request is about to be sent. */
    void taken() {
        link.written(Traffic.REQUESTS, bytes, clock.getAsLong());
    }

    /** The request was not sent after all. */
    void givenBack() {
        link.notWritten(Traffic.REQUESTS, bytes);
    }
}
