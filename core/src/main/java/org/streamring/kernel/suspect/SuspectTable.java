package org.streamring.kernel.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which requests are blocked because servers ended while running them.
 *
 * <p>Every request that ran on a server when it ended is a suspect, and the entries report their suspects to each
 * other. A request is blocked when enough servers have ended under it one after the other; servers that end together
 * count once, since a popular request runs on many servers, which may end together for another reason. A complete
 * answer clears a request of its earlier crashes and protects it from suspicion for some time. When a block expires,
 * one entry sends the request once as a trial. Confined to one thread.
 */
public final class SuspectTable {
    /** Time after which to decide again on a request that waits for a trial, here or at another entry. */
    private static final long TRIAL_WAIT_MILLIS = 1_000;

    /** Number of crashes from which a clearance is reported to other entries, which may have received these crashes. */
    private static final int MIN_CRASHES_TO_REPORT_CLEARED = 2;

    private final SuspectLimits limits;
    private final Predicate<SuspectId> triesHere;
    private final SuspectEvents events;
    private final Map<SuspectId, Evidence> suspects = new HashMap<>();
    private final Map<String, Map<SuspectId, Integer>> unconfirmed = new HashMap<>();
    private final Map<SuspectId, Integer> running = new HashMap<>();
    private final Set<SuspectId> blocked = new HashSet<>();
    private final RecentAnswers answers;
    private final LocalObservations localObservations = new LocalObservations();

    /**
     * Creates a table without suspects.
     *
     * @param triesHere whether a request is tried at this entry after its block; true at one entry of the fleet
     */
    public SuspectTable(SuspectLimits limits, Predicate<SuspectId> triesHere, SuspectEvents events) {
        this.limits = limits;
        this.triesHere = triesHere;
        this.events = events;
        this.answers = new RecentAnswers(limits.answerMillis(), limits.mostAnswers());
    }

    /** Decides whether a request may be sent now. */
    public SuspectDecision decide(SuspectId request, long nowMillis) {
        if (!blocked.contains(request)) {
            return SuspectDecision.UNSUSPECTED;
        }
        Evidence evidence = suspects.get(request);
        int crashes = evidence.unclearedCount();
        long remainingMillis = evidence.lastCrashMillis() + limits.blockMillis(crashes) - nowMillis;
        if (remainingMillis > 0) {
            return new SuspectDecision(false, crashes, remainingMillis);
        }
        boolean mustWait = running.containsKey(request) || !triesHere.test(request);
        return new SuspectDecision(!mustWait, crashes, mustWait ? TRIAL_WAIT_MILLIS : 0);
    }

    /** Records that a request is sent to a server; returns the round of the attempt, for {@link #brokeOff}. */
    public int sent(SuspectId request) {
        running.merge(request, 1, Integer::sum);
        Evidence evidence = suspects.get(request);
        return evidence == null ? 1 : evidence.lastRound() + 1;
    }

    /** Records the end of an attempt, with or without an answer. */
    public void ended(SuspectId request) {
        running.computeIfPresent(request, (any, count) -> count > 1 ? count - 1 : null);
    }

    /** Records a complete answer to a request. */
    public void answered(SuspectId request, long nowMillis) {
        answers.add(request, nowMillis);
        Evidence evidence = suspects.get(request);
        if (evidence != null && evidence.unclearedCount() > 0) {
            clear(request, evidence);
            updateBlock(request);
        }
    }

    /**
     * Records that an attempt broke off. Its server is assumed to have ended until this is confirmed or refuted.
     *
     * @param server incarnation of the server
     * @param round round that {@link #sent} returned for the attempt
     * @return whether the crash is recorded, so that it is to be confirmed or refuted
     */
    public boolean brokeOff(SuspectId request, String server, int round, long nowMillis) {
        if (answers.protects(request, nowMillis)) {
            return false;
        }
        unconfirmed.computeIfAbsent(server, any -> new HashMap<>()).merge(request, round, Math::max);
        add(request, server, round, nowMillis);
        updateBlock(request);
        return true;
    }

    /** Confirms that a server has ended; returns the number of requests that broke off there. */
    public int confirmed(String server, long nowMillis) {
        Map<SuspectId, Integer> requests = removeUnconfirmed(server);
        if (!requests.isEmpty()) {
            localObservations.ended(server, requests, nowMillis);
        }
        return requests.size();
    }

    /** Records that a server has not ended; returns the number of requests that broke off there for another reason. */
    public int refuted(String server) {
        Map<SuspectId, Integer> requests = removeUnconfirmed(server);
        requests.keySet().forEach(request -> removeCrash(request, server));
        requests.keySet().forEach(this::updateBlock);
        return requests.size();
    }

    private Map<SuspectId, Integer> removeUnconfirmed(String server) {
        Map<SuspectId, Integer> requests = unconfirmed.remove(server);
        return requests == null ? Map.of() : requests;
    }

    private void removeCrash(SuspectId request, String server) {
        Evidence evidence = suspects.get(request);
        if (evidence != null) {
            evidence.remove(server);
        }
    }

    /** Merges a report of another entry, or of the previous process on this box. */
    public void merge(SuspectReport report, long nowMillis) {
        Set<SuspectId> affected = new HashSet<>(report.cleared().keySet());
        report.cleared()
                .forEach((request, servers) -> evidence(request, nowMillis).clear(servers));
        report.crashes()
                .forEach((server, requests) -> requests.forEach((request, round) -> {
                    boolean isNew = add(request, server, round, nowMillis);
                    if (isNew && answers.protects(request, nowMillis)) {
                        clear(request, evidence(request, nowMillis));
                    }
                    affected.add(request);
                }));
        affected.forEach(this::updateBlock);
    }

    /** Returns the observations of this entry, for all other entries. */
    public SuspectReport report() {
        return localObservations.report();
    }

    /** Returns whether {@link #report} contains changes that are to be sent to the other entries immediately. */
    public boolean hasUrgentChanges() {
        return localObservations.isUrgent();
    }

    /** Returns whether {@link #report} has changed since it was last called. */
    public boolean hasChanged() {
        return localObservations.hasChanged();
    }

    /** Restores the observations of the previous process on this box, so that they continue to be reported. */
    public void resume(SuspectReport earlier, long nowMillis) {
        localObservations.resume(earlier, nowMillis);
        merge(earlier, nowMillis);
    }

    /** Removes crashes that are older than the retention period. */
    public void expire(long nowMillis) {
        long oldest = nowMillis - limits.keptMillis();
        localObservations.expire(oldest);
        List<SuspectId> old = suspects.entrySet().stream()
                .filter(entry -> entry.getValue().lastCrashMillis() <= oldest)
                .map(Map.Entry::getKey)
                .toList();
        old.forEach(this::forget);
    }

    /** Returns the number of suspects. */
    public int suspects() {
        return suspects.size();
    }

    /** Returns the number of blocked requests. */
    public int blocked() {
        return blocked.size();
    }

    private boolean add(SuspectId request, String server, int round, long nowMillis) {
        return evidence(request, nowMillis).add(server, round, nowMillis);
    }

    private Evidence evidence(SuspectId request, long nowMillis) {
        Evidence known = suspects.get(request);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= limits.mostRequests()) {
            forgetLeastSuspected();
        }
        Evidence created = new Evidence(nowMillis);
        suspects.put(request, created);
        return created;
    }

    private void forgetLeastSuspected() {
        suspects.entrySet().stream()
                .min(Comparator.comparingInt((Map.Entry<SuspectId, Evidence> entry) ->
                                entry.getValue().unclearedCount())
                        .thenComparingLong(entry -> entry.getValue().lastCrashMillis()))
                .map(Map.Entry::getKey)
                .ifPresent(this::forget);
    }

    private void clear(SuspectId request, Evidence evidence) {
        evidence.clearAll();
        localObservations.removeRequest(request);
        if (evidence.allServers().size() >= MIN_CRASHES_TO_REPORT_CLEARED) {
            localObservations.cleared(request, evidence.allServers());
        }
    }

    private void forget(SuspectId request) {
        suspects.remove(request);
        localObservations.forgetCleared(request);
        if (blocked.remove(request)) {
            events.unblocked(request);
        }
    }

    private void updateBlock(SuspectId request) {
        Evidence evidence = suspects.get(request);
        if (evidence != null && reachesLimit(evidence)) {
            if (blocked.add(request)) {
                events.blocked(request, evidence.uncleared());
            }
        } else if (blocked.remove(request)) {
            events.unblocked(request);
        }
    }

    private boolean reachesLimit(Evidence evidence) {
        return evidence.countedCrashes() >= limits.crashes();
    }
}
