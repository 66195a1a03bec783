package org.streamring.kernel.availability;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides which backend servers may receive requests, based on their rows in the list of backend servers and on their
 * answers.
 *
 * <p>State is kept per incarnation, so the notices of an earlier process don't apply to a new process with the same
 * identifier. Back-offs are an exception: a new process answers before its row is listed, and its back-off is recorded
 * for the incarnation that is listed then. A shutdown notice is final, because older rows of the list may be read after
 * it. Availability is checked when a server is chosen and again just before the request is sent, since the request may
 * wait for a connection in between. Confined to one thread.
 */
public final class BackendAvailability {
    /**
     * Interval between single requests to a server after its back-off, until it has answered one. Plain calls and most
     * prompts start within this time.
     */
    static final long PROBE_INTERVAL_MILLIS = 1_000;

    /**
     * Time in which the number of requests sent to a server doubles, from its first answer after a back-off. Compared
     * with sending all waiting requests after that answer, 30 in 100 more are served and 38 in 100 fewer rejected (60
     * simulated days of three entries and four servers at six tenths of the servers' capacity).
     */
    static final long DOUBLING_MILLIS = 100;

    /** Doublings, about a thousand requests, after which the requests to a server are no longer limited. */
    private static final int DOUBLINGS = 10;

    /** Part of the drain time reserved for the transfer of a request to the server over the box's own link. */
    static final long SENDING_MARGIN_MILLIS = 500;

    /** Retention of servers that are not listed; expired rows may be listed again some seconds after a list outage. */
    static final long RETENTION_MILLIS = 60_000;

    /**
     * Time for which the row of a new process may be late. A back-off that was requested earlier than that before the
     * row was listed is one of the process before.
     */
    static final long MAX_ROW_DELAY_MILLIS = 10_000;

    private final LongSupplier drainMillis;
    private final AvailabilityEvents events;
    private final Map<String, ReportedState> statesByIncarnation = new HashMap<>();
    private final Map<Server, String> listedIncarnations = new HashMap<>();

    /** Server whose processes follow each other. */
    private record Server(String id, String host, int port) {}

    /** Phase of the return to normal load after a back-off. */
    private enum RampUp {
        /** The incarnation has never asked for a back-off. */
        OPEN,
        /** Receives one request at a time until it has answered one. */
        PROBING,
        /** Has answered; the number of requests doubles at a fixed interval. */
        GROWING
    }

    /** Reported state of one incarnation. */
    private static final class ReportedState {
        private @Nullable NoticeSource shuttingDown;
        private long leavingSinceMillis;
        private @Nullable String successor;
        private long backOffRequestedMillis = Long.MIN_VALUE / 2;
        private long backOffUntilMillis = Long.MIN_VALUE;
        private RampUp rampUp = RampUp.OPEN;
        private long growingSinceMillis;
        private long lastPlacedMillis = Long.MIN_VALUE / 2;
        private int placed;
        private long lastNoticeMillis;

        private boolean isBackingOff(long nowMillis) {
            return nowMillis < backOffUntilMillis;
        }

        private boolean hasRoom(long nowMillis) {
            return switch (rampUp) {
                case OPEN -> true;
                case PROBING -> nowMillis - lastPlacedMillis >= PROBE_INTERVAL_MILLIS;
                case GROWING -> {
                    long doublings = (nowMillis - growingSinceMillis) / DOUBLING_MILLIS;
                    yield doublings >= DOUBLINGS || placed < 2 << doublings;
                }
            };
        }
    }

    /**
     * Creates an instance without recorded notices.
     *
     * @param drainMillis how long a server keeps serving after its shutdown notice, in milliseconds
     */
    public BackendAvailability(LongSupplier drainMillis, AvailabilityEvents events) {
        this.drainMillis = drainMillis;
        this.events = events;
    }

    /**
     * Records that an incarnation is listed as the current process of a server. It takes over a recent back-off of the
     * incarnation listed before, and also back-offs that are recorded for that one from now on.
     */
    public void listed(String id, String host, int port, String incarnation, long nowMillis) {
        String before = listedIncarnations.put(new Server(id, host, port), incarnation);
        if (before == null || before.equals(incarnation)) {
            return;
        }
        ReportedState replaced = recordNotice(before, nowMillis);
        replaced.successor = incarnation;
        boolean mayBeOfSuccessor = nowMillis - replaced.backOffRequestedMillis <= MAX_ROW_DELAY_MILLIS;
        if (mayBeOfSuccessor && replaced.isBackingOff(nowMillis)) {
            startBackOff(incarnation, replaced.backOffUntilMillis - nowMillis, nowMillis);
        }
    }

    /** Records that an incarnation is shutting down. */
    public void leaving(String incarnation, NoticeSource source, long nowMillis) {
        ReportedState reported = recordNotice(incarnation, nowMillis);
        if (reported.shuttingDown == NoticeSource.ROW || reported.shuttingDown == source) {
            return;
        }
        if (reported.shuttingDown == null) {
            reported.leavingSinceMillis = nowMillis;
        }
        reported.shuttingDown = source;
        events.leaving(incarnation, source);
    }

    /**
     * Records the notice of an answer. If the answer asks for no back-off and is not a rejection, the server
     * counts as serving again.
     *
     * @param turnedAway whether the server rejected the request
     */
    public void answered(String incarnation, boolean turnedAway, BackendNotice notice, long nowMillis) {
        if (notice.shuttingDown()) {
            leaving(incarnation, NoticeSource.ANSWER, nowMillis);
        }
        if (notice.backOffMillis() > 0) {
            recordBackOff(incarnation, notice.backOffMillis(), nowMillis);
        } else if (!turnedAway) {
            recordServed(incarnation, nowMillis);
        }
    }

    private void recordBackOff(String incarnation, long backOffMillis, long nowMillis) {
        ReportedState reported = startBackOff(incarnation, backOffMillis, nowMillis);
        if (reported.successor != null) {
            startBackOff(reported.successor, backOffMillis, nowMillis);
        }
    }

    /** Starts a back-off; of several back-offs, the one that ends last applies. */
    private ReportedState startBackOff(String incarnation, long backOffMillis, long nowMillis) {
        ReportedState reported = recordNotice(incarnation, nowMillis);
        if (!reported.isBackingOff(nowMillis)) {
            events.backOffStarted(incarnation, backOffMillis);
        }
        reported.backOffRequestedMillis = nowMillis;
        reported.backOffUntilMillis = Math.max(reported.backOffUntilMillis, nowMillis + backOffMillis);
        reported.rampUp = RampUp.PROBING;
        reported.placed = 0;
        reported.lastPlacedMillis = Long.MIN_VALUE / 2;
        return reported;
    }

    private void recordServed(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        if (reported == null || reported.rampUp != RampUp.PROBING || reported.isBackingOff(nowMillis)) {
            return;
        }
        reported.rampUp = RampUp.GROWING;
        reported.growingSinceMillis = nowMillis;
        events.backOffEnded(incarnation);
    }

    private ReportedState recordNotice(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.computeIfAbsent(incarnation, key -> new ReportedState());
        reported.lastNoticeMillis = nowMillis;
        return reported;
    }

    /** Returns whether an incarnation is shutting down. */
    public boolean isShuttingDown(String incarnation) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        return reported != null && reported.shuttingDown != null;
    }

    /**
     * Returns whether a request may be placed at an incarnation. After a back-off, the incarnation receives a single
     * request first, and increasingly many once it has answered: sending all waiting requests at once causes the next
     * rejections.
     */
    public boolean isAvailable(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        return reported == null
                || (reported.shuttingDown == null && !reported.isBackingOff(nowMillis) && reported.hasRoom(nowMillis));
    }

    /**
     * Returns whether an incarnation that is shutting down may be used when no other one is available. It keeps serving
     * for the drain time, which starts with the first answer that reports the shutdown. If its row in the list reports
     * the shutdown, the start is not known, and the incarnation is not used.
     */
    public boolean isAvailableAsLastResort(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        return reported != null
                && reported.shuttingDown == NoticeSource.ANSWER
                && !reported.isBackingOff(nowMillis)
                && nowMillis - reported.leavingSinceMillis < drainMillis.getAsLong() - SENDING_MARGIN_MILLIS;
    }

    /**
     * Returns whether a request that was placed at an incarnation may still be sent to it.
     *
     * @param asLast whether the incarnation was chosen by {@link #isAvailableAsLastResort}
     */
    public boolean mayBeSent(String incarnation, boolean asLast, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        if (reported == null) {
            return true;
        }
        return reported.shuttingDown == null
                ? !reported.isBackingOff(nowMillis)
                : asLast && isAvailableAsLastResort(incarnation, nowMillis);
    }

    /** Records that a request is placed at an incarnation. */
    public void placed(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        if (reported != null) {
            reported.lastPlacedMillis = nowMillis;
            reported.placed++;
        }
    }

    /**
     * Takes back the record of a request that was placed at the given time and was not sent. A back-off that was
     * requested since then has started the count anew.
     */
    public void notSent(String incarnation, long placedMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        if (reported == null || reported.backOffRequestedMillis >= placedMillis) {
            return;
        }
        reported.placed--;
        if (reported.lastPlacedMillis == placedMillis) {
            reported.lastPlacedMillis = Long.MIN_VALUE / 2;
        }
    }

    /** Returns the remaining back-off of an incarnation in milliseconds; 0 if it is not backing off. */
    public long remainingBackOffMillis(String incarnation, long nowMillis) {
        ReportedState reported = statesByIncarnation.get(incarnation);
        return reported != null && reported.isBackingOff(nowMillis) ? reported.backOffUntilMillis - nowMillis : 0;
    }

    /** Returns the number of recorded incarnations that are shutting down. */
    public long shuttingDownCount() {
        return statesByIncarnation.values().stream()
                .filter(reported -> reported.shuttingDown != null)
                .count();
    }

    /** Returns the number of incarnations that are backing off. */
    public long backingOffCount(long nowMillis) {
        return statesByIncarnation.values().stream()
                .filter(reported -> reported.isBackingOff(nowMillis))
                .count();
    }

    /**
     * Removes incarnations that are no longer listed and have sent no notice within the retention period.
     *
     * @param known incarnations that are listed
     */
    public void forgetGone(Set<String> known, long nowMillis) {
        statesByIncarnation
                .entrySet()
                .removeIf(each -> !known.contains(each.getKey())
                        && nowMillis - each.getValue().lastNoticeMillis > RETENTION_MILLIS);
        listedIncarnations.values().removeIf(each -> !known.contains(each) && !statesByIncarnation.containsKey(each));
    }
}
