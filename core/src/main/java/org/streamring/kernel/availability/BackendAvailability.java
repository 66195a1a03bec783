package org.streamring.kernel.availability;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Which backend servers may be sent to, by what they said of themselves in their entries and answers.
 *
 * <p>All of it is kept by incarnation: what an earlier process said doesn't bind the one that starts under its
 * identifier. A word that it leaves is never taken back, as older entries of the list may be read after it. Asked at
 * the choice, and again when a request is about to be sent, since it may wait for a connection meanwhile. Confined to
 * one thread.
 */
public final class BackendAvailability {
    /** After its rest a server is tried so rarely until it has answered; plain calls and most prompts begin by then. */
    static final long TRY_MILLIS = 1_000;

    /**
     * From its first answer after a rest on, the requests that a server gets double in this time. Against all at once
     * after that answer, 30 in 100 more are served and 38 in 100 fewer turned away (60 simulated days of three entries
     * and four servers at six tenths of what these bear).
     */
    static final long DOUBLING_MILLIS = 100;

    /** After so many doublings, a thousand requests, a server is like one that has not rested. */
    private static final int DOUBLINGS = 10;

    /** What is left of the drain time belongs to the way from the last question to the server: the box's own link. */
    static final long SENDING_MARGIN_MILLIS = 500;

    /** Entries that lapsed may be listed anew some seconds after an outage of the list. */
    static final long KEEP_GONE_MILLIS = 60_000;

    private final LongSupplier drainMillis;
    private final AvailabilityEvents events;
    private final Map<String, Notices> notices = new HashMap<>();

    /** How an incarnation gets requests again after it wanted rest. */
    private enum Return {
        /** It never wanted any. */
        OPEN,
        /** One request at a time, until it has answered one. */
        TRIED,
        /** It has answered; more and more. */
        GROWING
    }

    /** What one incarnation said of itself. */
    private static final class Notices {
        private @Nullable NoticeSource leaving;
        private long leavingMillis;
        private long restUntilMillis = Long.MIN_VALUE;
        private Return afterRest = Return.OPEN;
        private long answeredMillis;
        private long lastPlacedMillis = Long.MIN_VALUE / 2;
        private int placed;
        private long heardMillis;

        private boolean rests(long nowMillis) {
            return nowMillis < restUntilMillis;
        }

        private boolean hasRoom(long nowMillis) {
            return switch (afterRest) {
                case OPEN -> true;
                case TRIED -> nowMillis - lastPlacedMillis >= TRY_MILLIS;
                case GROWING -> {
                    long doublings = (nowMillis - answeredMillis) / DOUBLING_MILLIS;
                    yield doublings >= DOUBLINGS || placed < 2 << doublings;
                }
            };
        }
    }

    /**
     * Creates one to which nothing was said.
     *
     * @param drainMillis how long a server serves after it said that it leaves, in milliseconds
     */
    public BackendAvailability(LongSupplier drainMillis, AvailabilityEvents events) {
        this.drainMillis = drainMillis;
        this.events = events;
    }

    /** Takes the word of an incarnation that it leaves. */
    public void leaving(String incarnation, NoticeSource source, long nowMillis) {
        Notices said = heard(incarnation, nowMillis);
        if (said.leaving == NoticeSource.ROW || said.leaving == source) {
            return;
        }
        if (said.leaving == null) {
            said.leavingMillis = nowMillis;
        }
        said.leaving = source;
        events.leaving(incarnation, source);
    }

    /** Takes what an answer says of its server, and the answer itself as a sign of life. */
    public void answered(String incarnation, boolean turnedAway, BackendNotice notice, long nowMillis) {
        if (notice.leaving()) {
            leaving(incarnation, NoticeSource.ANSWER, nowMillis);
        }
        if (notice.restMillis() > 0) {
            rests(incarnation, notice.restMillis(), nowMillis);
        } else if (!turnedAway) {
            served(incarnation, nowMillis);
        }
    }

    /** Of several answers the latest end counts. */
    private void rests(String incarnation, long restMillis, long nowMillis) {
        Notices said = heard(incarnation, nowMillis);
        if (!said.rests(nowMillis)) {
            events.rests(incarnation, restMillis);
        }
        said.restUntilMillis = Math.max(said.restUntilMillis, nowMillis + restMillis);
        said.afterRest = Return.TRIED;
        said.placed = 0;
        said.lastPlacedMillis = Long.MIN_VALUE / 2;
    }

    private void served(String incarnation, long nowMillis) {
        Notices said = notices.get(incarnation);
        if (said == null || said.afterRest != Return.TRIED || said.rests(nowMillis)) {
            return;
        }
        said.afterRest = Return.GROWING;
        said.answeredMillis = nowMillis;
        events.rested(incarnation);
    }

    private Notices heard(String incarnation, long nowMillis) {
        Notices said = notices.computeIfAbsent(incarnation, key -> new Notices());
        said.heardMillis = nowMillis;
        return said;
    }

    /** Whether an incarnation said that it leaves. */
    public boolean isLeaving(String incarnation) {
        Notices said = notices.get(incarnation);
        return said != null && said.leaving != null;
    }

    /**
     * Whether a request may be placed at an incarnation. One that has rested gets a single request first, and more and
     * more when it has answered: where all that waited came at once, they brought the next refusals.
     */
    public boolean takes(String incarnation, long nowMillis) {
        Notices said = notices.get(incarnation);
        return said == null || (said.leaving == null && !said.rests(nowMillis) && said.hasRoom(nowMillis));
    }

    /**
     * Whether an incarnation that leaves may be used where no other one is left: it serves for the drain time, which
     * runs from the first answer that said so. Where its entry says so, nobody here knows since when.
     */
    public boolean takesAsLast(String incarnation, long nowMillis) {
        Notices said = notices.get(incarnation);
        return said != null
                && said.leaving == NoticeSource.ANSWER
                && !said.rests(nowMillis)
                && nowMillis - said.leavingMillis < drainMillis.getAsLong() - SENDING_MARGIN_MILLIS;
    }

    /**
     * Whether a request that was placed at an incarnation may still be sent to it.
     *
     * @param asLast whether it was chosen by {@link #takesAsLast}
     */
    public boolean mayBeSent(String incarnation, boolean asLast, long nowMillis) {
        Notices said = notices.get(incarnation);
        if (said == null) {
            return true;
        }
        return said.leaving == null ? !said.rests(nowMillis) : asLast && takesAsLast(incarnation, nowMillis);
    }

    /** Notes that a request is placed at an incarnation. */
    public void placed(String incarnation, long nowMillis) {
        Notices said = notices.get(incarnation);
        if (said != null) {
            said.lastPlacedMillis = nowMillis;
            said.placed++;
        }
    }

    /** Time until the rest of an incarnation is over, in milliseconds; 0 if it doesn't rest. */
    public long restLeftMillis(String incarnation, long nowMillis) {
        Notices said = notices.get(incarnation);
        return said != null && said.rests(nowMillis) ? said.restUntilMillis - nowMillis : 0;
    }

    /** Incarnations that leave and are still remembered. */
    public long leavingCount() {
        return notices.values().stream().filter(said -> said.leaving != null).count();
    }

    /** Incarnations that rest now. */
    public long restingCount(long nowMillis) {
        return notices.values().stream().filter(said -> said.rests(nowMillis)).count();
    }

    /** Forgets incarnations that are no longer known and have said nothing for long. */
    public void forgetGone(Set<String> known, long nowMillis) {
        notices.entrySet()
                .removeIf(each ->
                        !known.contains(each.getKey()) && nowMillis - each.getValue().heardMillis > KEEP_GONE_MILLIS);
    }
}
