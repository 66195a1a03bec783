package org.streamring.direct.caller;

import io.netty.channel.Channel;
import java.util.EnumSet;
import java.util.Set;

/** Stops reading a connection while there is any reason to. Confined to the event loop. */
final class ReadGate {
    /** Reasons not to read a connection. */
    enum Reason {
        /** As many requests as may be pipelined wait for their turn. */
        PIPELINE_FULL,
        /** The body that arrives next waits for memory. */
        NO_MEMORY
    }

    private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);

    void close(Channel channel, Reason reason) {
        reasons.add(reason);
        channel.config().setAutoRead(false);
    }

    void open(Channel channel, Reason reason) {
        if (reasons.remove(reason) && reasons.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    boolean isClosedBy(Reason reason) {
        return reasons.contains(reason);
    }
}
