package org.streamring.kernel.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Issues permits for servers that name a limit, at the pace of the limit.
 *
 * <p>Permits are issued one after the other rather than from a full bucket, so that a window holds what its length
 * allows and one more. Confined to one thread.
 */
public final class PermitIssuer {
    /** A server that takes nothing, or hardly anything, still gets a request now and then, or its end isn't noticed. */
    static final double LEAST_PER_SECOND = 0.25;

    /** An entry that asks while no permit is free is told to come back within this time. */
    static final long LONGEST_WAIT_MILLIS = 5_000;

    /** Where permits come faster than questions, so much of the pace may be issued at once. */
    static final long BATCH_MILLIS = 100;

    /**
     * After a larger limit is named, or none, the pace begins with this, if it was lower, and doubles with each answer
     * to a later request that says the same: the news may have been late, and a smaller limit be named since.
     */
    static final double FIRST_AFTER_RAISE_PER_SECOND = 0.5;

    private static final long KEEP_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Pace> paces = new HashMap<>();

    /** The pace of one server's permits. */
    private static final class Pace {
        private NamedLimit named;
        private double reachedPerSecond;
        private long steppedMillis;
        private double nextMillis;
        private double queueEndMillis;
        private long askedMillis;
        private int issued;

        private Pace(NamedLimit named, long nowMillis) {
            this.named = named;
            this.reachedPerSecond = named.binds() ? named.perSecond() : FIRST_AFTER_RAISE_PER_SECOND;
            waitAnew(nowMillis);
        }

        /** As if a permit had been issued just now: what an earlier owner, or a larger limit, allowed is not known. */
        private void waitAnew(long nowMillis) {
            nextMillis = nowMillis + MILLIS_PER_SECOND / perSecond();
            queueEndMillis = 0;
        }

        private void hear(NamedLimit word, long nowMillis) {
            NamedLimit before = named;
            named = before.followedBy(word);
            if (named.perSecond() > before.perSecond()) {
                reachedPerSecond =
                        Math.max(FIRST_AFTER_RAISE_PER_SECOND, Math.min(before.perSecond(), reachedPerSecond));
                steppedMillis = nowMillis;
                nextMillis = Math.min(nextMillis, (double) nowMillis);
                queueEndMillis = 0;
            } else if (named.perSecond() < before.perSecond()) {
                reachedPerSecond = named.perSecond();
                waitAnew(nowMillis);
            } else if (word.perSecond() == named.perSecond() && word.sentMillis() > steppedMillis) {
                reachedPerSecond = 2 * reachedPerSecond;
                steppedMillis = nowMillis;
            }
        }

        private double perSecond() {
            return Math.max(LEAST_PER_SECOND, Math.min(named.perSecond(), reachedPerSecond));
        }
    }

    /** Takes what an entry heard of a server's limit. */
    public void hear(LimitNews news, long nowMillis) {
        pace(news, nowMillis);
    }

    private Pace pace(LimitNews news, long nowMillis) {
        Pace pace = paces.computeIfAbsent(news.incarnation(), key -> new Pace(news.asOf(nowMillis), nowMillis));
        pace.askedMillis = nowMillis;
        pace.hear(news.asOf(nowMillis), nowMillis);
        return pace;
    }

    /**
     * Answers a question of this entry or another.
     *
     * @param share part of the limit that this entry may issue
     */
    public PermitGrant ask(PermitAsk ask, double share, long nowMillis) {
        Pace pace = pace(ask.news(), nowMillis);
        double interval = MILLIS_PER_SECOND / (pace.perSecond() * share);
        pace.nextMillis = Math.min(pace.nextMillis, nowMillis + interval);
        return nowMillis < pace.nextMillis ? queue(pace, interval, nowMillis) : issue(pace, ask, interval, nowMillis);
    }

    private static PermitGrant issue(Pace pace, PermitAsk ask, double interval, long nowMillis) {
        int batch = (int) Math.max(1, BATCH_MILLIS / interval);
        double earliest = nowMillis - (batch - 1) * interval;
        pace.nextMillis = Math.max(pace.nextMillis, earliest);
        int due = 1 + (int) ((nowMillis - pace.nextMillis) / interval);
        int count = Math.max(1, Math.min(ask.wanted(), due));
        pace.nextMillis += count * interval;
        pace.issued += count;
        return new PermitGrant(count, 0);
    }

    /** Entries are told turns one after the other, so that those whose callers wait don't all ask at once. */
    private static PermitGrant queue(Pace pace, double interval, long nowMillis) {
        double turn = Math.max(pace.nextMillis, pace.queueEndMillis);
        double latest = (double) nowMillis + LONGEST_WAIT_MILLIS;
        pace.queueEndMillis = Math.min(latest, turn + interval);
        return PermitGrant.none((long) Math.ceil(Math.min(turn, latest) - nowMillis));
    }

    /** Whether a server's limit was named by a later answer than the last one that named none. */
    public boolean binds(String incarnation) {
        Pace pace = paces.get(incarnation);
        return pace != null && pace.named.binds();
    }

    /** How much of each limit was used since the last call, as a part of it, where permits were asked for. */
    public List<Double> takeUse(long sinceMillis, long nowMillis) {
        List<Double> parts = new ArrayList<>();
        for (Pace pace : paces.values()) {
            if (pace.askedMillis >= sinceMillis && pace.named.binds()) {
                double limit = pace.perSecond() * (nowMillis - sinceMillis) / MILLIS_PER_SECOND;
                parts.add(pace.issued / limit);
            }
            pace.issued = 0;
        }
        return parts;
    }

    /** Forgets servers for which nobody has asked for long. */
    public void forgetUnasked(long nowMillis) {
        paces.values().removeIf(pace -> nowMillis - pace.askedMillis > KEEP_MILLIS);
    }
}
