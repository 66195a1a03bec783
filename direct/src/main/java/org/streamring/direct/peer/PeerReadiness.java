package org.streamring.direct.peer;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.PeerConnection;

/**
 * Decides whether an entry has waited long enough for its connections to other entries. Confined to the event loop.
 *
 * <p>The wait begins when the entry begins to connect: a process on a busy box may take seconds until then.
 */
public final class PeerReadiness implements EntryPeers.FrameListener {
    /** Longest wait for connections to other entries, which may be gone though they are still listed. */
    static final long MAX_CONNECT_MILLIS = 3_000;
    /** Longest wait, since the start of the process, for the key and the list of entries. */
    static final long MAX_LIST_MILLIS = 6_000;

    private final LongSupplier clock;
    private final BooleanSupplier reachesOthers;
    private long waitsUntilMillis = MAX_LIST_MILLIS;
    private boolean waitEnded;

    /**
     * Creates an instance; it has to be added to the listeners of the connections.
     *
     * @param clock milliseconds since this process started, on a monotonic clock
     * @param reachesOthers returns whether enough other entries are connected
     */
    public PeerReadiness(LongSupplier clock, BooleanSupplier reachesOthers) {
        this.clock = clock;
        this.reachesOthers = reachesOthers;
    }

    /** Returns whether this entry serves requests, as it has reached other entries or waited for them. */
    public boolean ready() {
        return waitEnded() || reachesOthers.getAsBoolean();
    }

    private boolean waitEnded() {
        waitEnded |= clock.getAsLong() > waitsUntilMillis;
        return waitEnded;
    }

    /** Has no effect after the wait for the list, as the entry serves then. */
    @Override
    public void connecting() {
        if (!waitEnded()) {
            waitsUntilMillis = clock.getAsLong() + MAX_CONNECT_MILLIS;
        }
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {}
}
