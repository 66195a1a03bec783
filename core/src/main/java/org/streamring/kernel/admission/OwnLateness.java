package org.streamring.kernel.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects that this box itself is delayed because its link or its processor is overloaded. In this case new connections
 * to most backend servers are slow at the same time. Otherwise they take a few milliseconds, or only connections to
 * some servers fail.
 *
 * <p>It is designed for uneven load: the load balancer assigns callers to entries by a hash, so the callers of a busy
 * account can send one entry many times the load of the others. Confined to one thread.
 */
public final class OwnLateness {
    /** Only recent connections count, because a link with a queue of 100 ms drains within 100 ms. */
    static final long WINDOW_MILLIS = 400;

    /**
     * Slow connections to fewer servers may be caused by the servers: one slow server, or the only two of a service.
     */
    static final int MIN_SERVERS = 3;

    /** Establishing a connection takes 2 to 5 ms without queueing; the target for a first event is about 1 s. */
    static final long LATE_MILLIS = 100;

    private final Map<String, ConnectTime> latestByServer = new HashMap<>();

    private record ConnectTime(long durationMillis, long endedMillis) {}

    /**
     * Records the time that connecting to a server took until it succeeded or timed out.
     *
     * @param server identifier of the server
     */
    public void recordConnectTime(String server, long durationMillis, long nowMillis) {
        removeExpired(nowMillis);
        latestByServer.put(server, new ConnectTime(durationMillis, nowMillis));
    }

    /**
     * Returns whether this box is delayed: connecting was slow for at least half of the servers connected to recently.
     */
    public boolean isDelayed(long nowMillis) {
        removeExpired(nowMillis);
        long slow = latestByServer.values().stream()
                .filter(each -> each.durationMillis() > LATE_MILLIS)
                .count();
        return latestByServer.size() >= MIN_SERVERS && 2 * slow >= latestByServer.size();
    }

    private void removeExpired(long nowMillis) {
        latestByServer.values().removeIf(each -> nowMillis - each.endedMillis() > WINDOW_MILLIS);
    }

    /** Returns the number of servers with recorded connections. */
    int recordedServers() {
        return latestByServer.size();
    }
}
