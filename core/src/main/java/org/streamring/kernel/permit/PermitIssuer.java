package org.streamring.kernel.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Issues permits for backend servers that announce a limit, at the rate of the limit.
 *
 * <p>Permits are issued at even intervals rather than from a full token bucket, so that a window holds at most one
 * permit more than its length allows. Confined to one thread.
 */
public final class PermitIssuer {
    /** Minimum rate, also for a limit of 0: only the answer to a request shows that the limit has ended. */
    static final double MIN_PER_SECOND = 0.25;

    /** Maximum time after which an entry that received no permit is to request again. */
    static final long MAX_WAIT_MILLIS = 5_000;

    /** Time whose permits may be issued at once, where permits become due faster than permit requests arrive. */
    static final long BATCH_MILLIS = 100;

    /**
     * Time before a turn in which an entry is told to wait for it. An entry that uses its turn late delays the next
     * turn by as much, and the entry that comes for that one would otherwise be told to wait for a turn behind those of
     * all others, so that the delayed turn is not used.
     */
    static final long TURN_TOLERANCE_MILLIS = 100;

    /**
     * Minimum initial rate after a limit was raised or ended. The rate doubles with each answer to a later request that
     * confirms the change: the update may have been delayed, and a smaller limit announced since.
     */
    static final double FIRST_AFTER_RAISE_PER_SECOND = 0.5;

    private static final long RETENTION_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, IssueRate> ratesByIncarnation = new HashMap<>();

    /** Rate of one server's permits. */
    private static final class IssueRate {
        private AnnouncedLimit announced;
        private double allowedPerSecond;
        private long changedMillis;
        private double share;
        private double nextMillis;
        private double queueEndMillis;
        private long lastRequestMillis;
        private int issued;

        private IssueRate(AnnouncedLimit announced, long nowMillis) {
            this.announced = announced;
            this.allowedPerSecond = announced.hasLimit() ? announced.perSecond() : FIRST_AFTER_RAISE_PER_SECOND;
            restartInterval(nowMillis);
        }

        /**
         * Restarts the interval as if a permit had just been issued: permits issued by an earlier owner, or under a
         * larger limit, are not known.
         */
        private void restartInterval(long nowMillis) {
            nextMillis = nowMillis + MILLIS_PER_SECOND / perSecond();
            queueEndMillis = 0;
        }

        private void update(AnnouncedLimit newer, long nowMillis) {
            AnnouncedLimit before = announced;
            announced = before.combinedWith(newer);
            if (announced.perSecond() > before.perSecond()) {
                allowedPerSecond =
                        Math.max(FIRST_AFTER_RAISE_PER_SECOND, Math.min(before.perSecond(), allowedPerSecond));
                changedMillis = nowMillis;
                nextMillis = Math.min(nextMillis, (double) nowMillis);
                queueEndMillis = 0;
            } else if (announced.perSecond() < before.perSecond()) {
                allowedPerSecond = announced.perSecond();
                restartInterval(nowMillis);
            } else if (newer.perSecond() == announced.perSecond() && newer.sentMillis() > changedMillis) {
                allowedPerSecond = 2 * allowedPerSecond;
                changedMillis = nowMillis;
            }
        }

        /** Delays the next turn, and those to be assigned behind the ones that entries wait for. */
        private void delayTurns(double millis, long nowMillis) {
            if (millis > 0) {
                nextMillis += millis;
                queueEndMillis += queueEndMillis > nowMillis ? Math.min(millis, TURN_TOLERANCE_MILLIS) : 0;
            }
        }

        /** Assigns turns anew once the share rises, since those of the smaller share are further apart. */
        private void applyShare(double newShare) {
            if (newShare > share) {
                queueEndMillis = 0;
            }
            share = newShare;
        }

        private double perSecond() {
            return Math.max(MIN_PER_SECOND, Math.min(announced.perSecond(), allowedPerSecond));
        }
    }

    /** Applies a limit update of this entry or another one. */
    public void apply(LimitNews update, long nowMillis) {
        rate(update, nowMillis);
    }

    private IssueRate rate(LimitNews update, long nowMillis) {
        IssueRate rate = ratesByIncarnation.computeIfAbsent(
                update.incarnation(), key -> new IssueRate(update.asOf(nowMillis), nowMillis));
        rate.lastRequestMillis = nowMillis;
        rate.update(update.asOf(nowMillis), nowMillis);
        return rate;
    }

    /**
     * Answers a permit request of this entry or another one.
     *
     * @param share share of the limit that this entry may issue, greater than 0
     */
    public PermitGrant answer(PermitAsk ask, double share, long nowMillis) {
        IssueRate rate = rate(ask.update(), nowMillis);
        rate.applyShare(share);
        double interval = MILLIS_PER_SECOND / (rate.perSecond() * share);
        rate.nextMillis = Math.min(rate.nextMillis, nowMillis + interval);
        if (nowMillis >= rate.nextMillis) {
            return issue(rate, ask, interval, nowMillis);
        }
        double untilTurn = rate.nextMillis - nowMillis;
        return untilTurn <= Math.min(TURN_TOLERANCE_MILLIS, interval / 2)
                ? PermitGrant.none((long) Math.ceil(untilTurn))
                : queue(rate, interval, nowMillis);
    }

    private static PermitGrant issue(IssueRate rate, PermitAsk ask, double interval, long nowMillis) {
        int batch = (int) Math.max(1, BATCH_MILLIS / interval);
        double earliest = nowMillis - (batch - 1) * interval;
        rate.delayTurns(earliest - rate.nextMillis, nowMillis);
        int due = 1 + (int) ((nowMillis - rate.nextMillis) / interval);
        int count = Math.max(1, Math.min(ask.wanted(), due));
        rate.nextMillis += count * interval;
        rate.issued += count;
        return new PermitGrant(count, 0);
    }

    /** Assigns successive times to entries that have to wait, so that they don't all request permits at once. */
    private static PermitGrant queue(IssueRate rate, double interval, long nowMillis) {
        double assignedTime = Math.max(rate.nextMillis, rate.queueEndMillis);
        double latest = (double) nowMillis + MAX_WAIT_MILLIS;
        rate.queueEndMillis = Math.min(latest, assignedTime + interval);
        return PermitGrant.none((long) Math.ceil(Math.min(assignedTime, latest) - nowMillis));
    }

    /** Returns whether a server's limit is in force, that is, no later answer without a limit has ended it. */
    public boolean isInForce(String incarnation) {
        IssueRate rate = ratesByIncarnation.get(incarnation);
        return rate != null && rate.announced.hasLimit();
    }

    /**
     * Returns the permits issued since the last call as a fraction of each limit, for servers whose permits were
     * requested or whose limit was updated in that time, and resets the counts.
     *
     * @param sinceMillis time of the last call
     */
    public List<Double> takeUsage(long sinceMillis, long nowMillis) {
        List<Double> fractions = new ArrayList<>();
        for (IssueRate rate : ratesByIncarnation.values()) {
            if (rate.lastRequestMillis >= sinceMillis && rate.announced.hasLimit()) {
                double limit = rate.perSecond() * (nowMillis - sinceMillis) / MILLIS_PER_SECOND;
                fractions.add(rate.issued / limit);
            }
            rate.issued = 0;
        }
        return fractions;
    }

    /** Removes servers without a permit request or limit update within the retention period. */
    public void removeUnused(long nowMillis) {
        ratesByIncarnation.values().removeIf(rate -> nowMillis - rate.lastRequestMillis > RETENTION_MILLIS);
    }
}
