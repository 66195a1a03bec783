package org.streamring.direct.request;

import java.util.function.LongSupplier;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.admission.LinkBacklog.Traffic;

/** Bytes that one request adds to this box's network link each time it is sent. Confined to the event loop. */
final class LinkUsage {
    /** Approximate size of the request line and the headers. */
    private static final long HEAD_BYTES = 600;

    private final LinkBacklog link;
    private final LongSupplier clock;
    private final long bytes;

    LinkUsage(LinkBacklog link, LongSupplier clock, int bodyBytes) {
        this.link = link;
        this.clock = clock;
        this.bytes = HEAD_BYTES + bodyBytes;
    }

    /** Returns the milliseconds until the request may be sent; 0 if it may be sent now. */
    long closedMillis() {
        return link.delayMillis(bytes, clock.getAsLong());
    }

    /** Counts the bytes of the request, which is about to be sent. */
    void acquire() {
        link.addBytes(Traffic.REQUESTS, bytes, clock.getAsLong());
    }

    /** Takes the bytes out of the count, as the request was not sent. */
    void release() {
        link.subtractBytes(Traffic.REQUESTS, bytes);
    }
}
