package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import org.streamring.kernel.memory.MemoryReservation;

/**
 * A request that has arrived whole, or one that is to be refused.
 *
 * @param head request line and headers; its decoder result has failed if the request is to be refused
 * @param body complete body; empty if the request is to be refused
 * @param waitedMillis time in milliseconds for which its body waited for memory
 * @param memory memory that the body occupies
 */
@SuppressWarnings("ArrayRecordComponent") // the array is passed on without being copied
record ArrivedRequest(HttpRequest head, byte[] body, long waitedMillis, List<MemoryReservation> memory) {
    /** Gives back the memory of the body. */
    void release() {
        memory.forEach(MemoryReservation::release);
    }
}
