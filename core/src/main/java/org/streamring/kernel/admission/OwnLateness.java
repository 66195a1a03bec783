package org.streamring.kernel.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether this box itself is late, by its link or its processor: then new connections to most backend servers take
 * long at the same time, where otherwise they take a few milliseconds, or only those to some servers fail.
 *
 * <p>The load pattern that it answers: the balancer hands each caller to an entry by a hash, so a busy account's
 * callers can bring one entry many times what the others get. Confined to one thread.
 */
public final class OwnLateness {
    /** Connections of the last moments tell; a link that is full for 100 ms drains in 100 ms. */
    static final long WINDOW_MILLIS = 400;

    /** One slow server, or the only two of a service, say nothing of this box. */
    static final int LEAST_SERVERS = 3;

    /** A connection takes 2 to 5 ms where nothing waits, and a first event has a second or so. */
    static final long LATE_MILLIS = 100;

    private final Map<String, Connecting> newest = new HashMap<>();

    private record Connecting(long tookMillis, long endedMillis) {}

    /**
     * Notes how long a new connection to a server took, or how long it was waited for in vain.
     *
     * @param server identifier of the server
     */
    public void connecting(String server, long tookMillis, long nowMillis) {
        forgetOld(nowMillis);
        newest.put(server, new Connecting(tookMillis, nowMillis));
    }

    /** Whether this box is late now: half or more of the servers that were connected to lately took long. */
    public boolean late(long nowMillis) {
        forgetOld(nowMillis);
        long slow = newest.values().stream()
                .filter(each -> each.tookMillis() > LATE_MILLIS)
                .count();
        return newest.size() >= LEAST_SERVERS && 2 * slow >= newest.size();
    }

    private void forgetOld(long nowMillis) {
        newest.values().removeIf(each -> nowMillis - each.endedMillis() > WINDOW_MILLIS);
    }

    /** Servers whose connections are remembered. */
    int remembered() {
        return newest.size();
    }
}
