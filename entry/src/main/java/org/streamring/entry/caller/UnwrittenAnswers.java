package org.streamring.entry.caller;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the answers of all connections that were given and that callers may not have received. Thread-safe. */
final class UnwrittenAnswers {
    private final AtomicInteger count = new AtomicInteger();

    /** Counts an answer until the future completes. */
    void addUntil(ChannelFuture received) {
        count.incrementAndGet();
        received.addListener(done -> count.decrementAndGet());
    }

    int count() {
        return count.get();
    }
}
