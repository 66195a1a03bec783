package org.streamring.direct.caller;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.http.WriteProgress;

/**
 * When something last happened on a connection. A caller relies on the idle timeout that was in force at its last
 * answer; a longer one applies at once. Confined to the event loop.
 */
final class ConnectionActivity {
    private final LongSupplier clock;
    private final Supplier<CallerLimits> limits;
    private final WriteProgress writeProgress = new WriteProgress();
    private long lastMillis;
    private long promisedIdleMillis;

    ConnectionActivity(LongSupplier clock, Supplier<CallerLimits> limits) {
        this.clock = clock;
        this.limits = limits;
        answerFinished();
    }

    long lastMillis() {
        return lastMillis;
    }

    void note() {
        lastMillis = clock.getAsLong();
    }

    void answerFinished() {
        promisedIdleMillis = idleTimeoutMillis();
        note();
    }

    /** Counts it as activity if the caller has read a part of an answer since the last call. */
    void noteWriteProgress(Channel channel) {
        if (writeProgress.anySinceLastCall(channel)) {
            note();
        }
    }

    /** Returns whether the idle timeout has passed since the last activity and since the given time. */
    boolean idleSince(long lastReadMillis) {
        long idleMillis = Math.max(promisedIdleMillis, idleTimeoutMillis());
        return clock.getAsLong() - Math.max(lastMillis, lastReadMillis) > idleMillis;
    }

    private long idleTimeoutMillis() {
        return limits.get().idleTimeout().toMillis();
    }
}
