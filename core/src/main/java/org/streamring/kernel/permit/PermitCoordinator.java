package org.streamring.kernel.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Coordinates permits among entries: requests permits from their owners for this entry's requests, and issues permits
 * to other entries where this entry is an owner. Confined to one thread.
 */
public final class PermitCoordinator {
    /** Time after which the next owner is asked; an owner that can be reached answers within a few milliseconds. */
    public static final long TIMEOUT_MILLIS = 100;

    /** Time for which an owner that did not answer is skipped, as each request to it costs {@link #TIMEOUT_MILLIS}. */
    static final long SKIP_MILLIS = 1_000;

    /** Interval at which an unchanged limit is reported to its owners again. */
    static final long REPORT_INTERVAL_MILLIS = 500;

    private final String ownName;
    private final PermitLink link;
    private final LimitEvents events;
    private final LimitedBackends limits;
    private final PermitIssuer issuer = new PermitIssuer();
    private final PermitOwners owners;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<String, ReportedLimit> lastReported = new HashMap<>();
    private final Map<String, Long> skippedUntil = new HashMap<>();
    private Set<String> connected = Set.of();
    private long nextNumber;
    private long nowMillis;

    /** Limit last reported to the owners of a server's permits. */
    private record ReportedLimit(double perSecond, long atMillis) {}

    /** Permit request that one owner has not answered yet. */
    private record PendingRequest(PermitAsk ask, String entry, long askedMillis, long sentMillis) {}

    /**
     * Creates an instance without recorded limits or other entries.
     *
     * @param ownName name of this entry
     * @param events receives changes in the recorded limits of servers
     */
    public PermitCoordinator(String ownName, PermitLink link, LimitEvents events) {
        this.ownName = ownName;
        this.link = link;
        this.events = events;
        this.owners = new PermitOwners(ownName);
        this.limits = new LimitedBackends(new OwnerReporter(), this::ask);
    }

    /** Returns the limits recorded by this entry, and its permits. */
    public LimitedBackends limits() {
        return limits;
    }

    /**
     * Sets the members of the fleet.
     *
     * @param entries entries that may own permits, including this one; empty while the members are not known
     * @param connectedEntries entries to which this entry is connected
     */
    public void entries(Set<String> entries, Set<String> connectedEntries, long now) {
        connected = Set.copyOf(connectedEntries);
        boolean isolated = entries.size() > 1 && entries.stream().noneMatch(connected::contains);
        owners.setEntries(entries, isolated, now);
    }

    private void ask(PermitAsk ask) {
        ask(ask, nowMillis, new HashSet<>());
    }

    /** Sends a permit request to the first owner that can be reached and was not tried for it before. */
    private void ask(PermitAsk ask, long askedMillis, Set<String> tried) {
        Optional<String> owner = owners.ownersOf(ask.incarnation()).stream()
                .filter(each -> !tried.contains(each))
                .filter(this::isReachable)
                .findFirst();
        if (owner.isEmpty()) {
            limits.requestFailed(ask.incarnation(), askedMillis, nowMillis);
        } else if (owner.get().equals(ownName)) {
            limits.granted(ask.incarnation(), askedMillis, issue(ask), nowMillis);
        } else {
            long number = nextNumber++;
            pendingRequests.put(number, new PendingRequest(ask, owner.get(), askedMillis, nowMillis));
            link.sendRequest(owner.get(), number, ask);
        }
    }

    private boolean isReachable(String entry) {
        boolean skipped = skippedUntil.getOrDefault(entry, Long.MIN_VALUE) > nowMillis;
        return entry.equals(ownName) || (connected.contains(entry) && !skipped);
    }

    /**
     * Issues permits, or assigns a turn. No entry is told to wait beyond the time from which this one may issue the
     * whole limit, as turns are due earlier from then on.
     */
    private PermitGrant issue(PermitAsk ask) {
        double share = owners.shareOf(ask.incarnation());
        if (share == 0) {
            return PermitGrant.none(LimitedBackends.RETRY_MILLIS);
        }
        PermitGrant grant = issuer.answer(ask, share, nowMillis);
        OptionalLong untilWholeLimit = owners.millisUntilWholeLimit(ask.incarnation(), nowMillis);
        return untilWholeLimit.isEmpty()
                ? grant
                : grant.waitingAtMost(Math.max(LimitedBackends.RETRY_MILLIS, untilWholeLimit.getAsLong()));
    }

    /** Records that a request could be sent to a server, and requests a permit if none is available. */
    public void wanted(String incarnation, long now) {
        nowMillis = now;
        limits.wanted(incarnation, now);
    }

    /** Answers a permit request of another entry, and records the limit in it. */
    public PermitGrant answerRequest(String sender, PermitAsk ask, long now) {
        nowMillis = now;
        PermitGrant grant = issue(ask);
        recordIfInForce(ask.update(), sender);
        return grant;
    }

    /** Accepts an owner's answer; an answer after the timeout is ignored. */
    public void granted(long number, PermitGrant grant, long now) {
        nowMillis = now;
        PendingRequest pending = pendingRequests.remove(number);
        if (pending != null) {
            limits.granted(pending.ask().incarnation(), pending.askedMillis(), grant, now);
        }
    }

    /** Records a limit update from another entry. */
    public void applyUpdate(String sender, LimitNews update, long now) {
        nowMillis = now;
        issuer.apply(update, now);
        recordIfInForce(update, sender);
    }

    private void recordIfInForce(LimitNews update, String sender) {
        if (issuer.isInForce(update.incarnation())) {
            limits.recordReported(update, sender, nowMillis);
        }
    }

    /** Records the limit notice of an answer; see {@link LimitedBackends#answered}. */
    public void answered(String incarnation, LimitWord notice, long sentMillis, long now) {
        nowMillis = now;
        limits.answered(incarnation, notice, sentMillis, now);
        if (notice.kind() == LimitWord.Kind.NAMED) {
            limits.update(incarnation, now).filter(this::isReportDue).ifPresent(this::reportToOwners);
        }
    }

    /** Returns whether an update is to be sent: repeating it corrects an owner that applied a delayed update. */
    private boolean isReportDue(LimitNews update) {
        ReportedLimit before = lastReported.get(update.incarnation());
        return before == null
                || before.perSecond() != update.perSecond()
                || nowMillis - before.atMillis() >= REPORT_INTERVAL_MILLIS;
    }

    /**
     * Sends permit requests that timed out to the next owner; to be called {@link #TIMEOUT_MILLIS} after each request.
     */
    public void retryTimedOut(long now) {
        nowMillis = now;
        for (Map.Entry<Long, PendingRequest> each : List.copyOf(pendingRequests.entrySet())) {
            PendingRequest pending = each.getValue();
            if (now - pending.sentMillis() >= TIMEOUT_MILLIS) {
                pendingRequests.remove(each.getKey());
                skippedUntil.put(pending.entry(), now + SKIP_MILLIS);
                ask(pending.ask(), pending.askedMillis(), Set.of(pending.entry()));
            }
        }
    }

    /** Returns the used fraction of each limit whose permits this entry issues; see {@link PermitIssuer#takeUsage}. */
    public List<Double> takeUsage(long sinceMillis, long now) {
        return issuer.takeUsage(sinceMillis, now);
    }

    /** Removes servers that are no longer listed. */
    public void forgetGone(Set<String> known, long now) {
        limits.forgetGone(known, now);
        issuer.removeUnused(now);
        skippedUntil.values().removeIf(until -> until < now);
        lastReported.keySet().removeIf(each -> !limits.isLimited(each));
    }

    /**
     * Sends an update to the owners, which need it from the first entry that receives it: they set the rate for all
     * entries.
     */
    private void reportToOwners(LimitNews update) {
        if (update.perSecond() != AnnouncedLimit.UNLIMITED) {
            lastReported.put(update.incarnation(), new ReportedLimit(update.perSecond(), nowMillis));
        }
        issuer.apply(update, nowMillis);
        owners.ownersOf(update.incarnation()).stream()
                .filter(each -> !each.equals(ownName))
                .filter(connected::contains)
                .forEach(each -> link.sendUpdate(each, update));
    }

    private final class OwnerReporter implements LimitEvents {
        @Override
        public void limited(String incarnation, double perSecond, String byEntry) {
            events.limited(incarnation, perSecond, byEntry);
        }

        @Override
        public void unlimited(String incarnation, long sentAgeMillis) {
            lastReported.remove(incarnation);
            reportToOwners(new LimitNews(incarnation, AnnouncedLimit.UNLIMITED, sentAgeMillis, 0));
            events.unlimited(incarnation, sentAgeMillis);
        }

        @Override
        public void unreadable(String incarnation, boolean first) {
            events.unreadable(incarnation, first);
        }
    }
}
