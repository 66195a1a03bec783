package org.streamring.kernel.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which requests are no longer sent, as servers end under them.
 *
 * <p>Whatever ran on a server that ended is a suspect, and all entries tell each other which. A request is blocked once
 * enough servers have ended under it, one after the other: a popular request runs on many servers, which may end
 * together for another reason. A whole answer clears a request of the crashes so far and speaks for it for a while. A
 * block ends after a while with a single trial, at one entry. Confined to one thread.
 */
public final class SuspectTable {
    /** A request that waits for another entry's trial asks again after this time. */
    private static final long TRIAL_ELSEWHERE_MILLIS = 1_000;

    /** One whole answer says that a request which broke off once was not the cause; two or more may have been told. */
    private static final int CRASHES_WORTH_CLEARING = 2;

    private final SuspectLimits limits;
    private final Predicate<RequestDigest> triesHere;
    private final SuspectEvents events;
    private final Map<RequestDigest, Evidence> suspects = new HashMap<>();
    private final Map<String, Map<RequestDigest, Integer>> unconfirmed = new HashMap<>();
    private final Map<RequestDigest, Integer> running = new HashMap<>();
    private final Set<RequestDigest> blocked = new HashSet<>();
    private final RecentAnswers answers;
    private final OwnSightings own = new OwnSightings();

    /**
     * Creates one that suspects nothing.
     *
     * @param triesHere whether a request whose block is over is tried at this entry; true at one entry of the fleet
     */
    public SuspectTable(SuspectLimits limits, Predicate<RequestDigest> triesHere, SuspectEvents events) {
        this.limits = limits;
        this.triesHere = triesHere;
        this.events = events;
        this.answers = new RecentAnswers(limits.answerMillis(), limits.mostAnswers());
    }

    /** Decides whether a request may be sent now. */
    public SuspectDecision decide(RequestDigest request, long nowMillis) {
        if (!blocked.contains(request)) {
            return SuspectDecision.UNSUSPECTED;
        }
        Evidence evidence = suspects.get(request);
        int crashes = evidence.openCount();
        long left = evidence.lastCrashMillis() + limits.blockMillis(crashes) - nowMillis;
        if (left > 0) {
            return new SuspectDecision(false, crashes, left);
        }
        boolean tried = running.containsKey(request) || !triesHere.test(request);
        return new SuspectDecision(!tried, crashes, tried ? TRIAL_ELSEWHERE_MILLIS : 0);
    }

    /** Notes that a request is sent to a server; returns the round of its attempts, for {@link #brokeOff}. */
    public int sent(RequestDigest request) {
        running.merge(request, 1, Integer::sum);
        Evidence evidence = suspects.get(request);
        return evidence == null ? 1 : evidence.lastRound() + 1;
    }

    /** Notes that an attempt of a request is over, in whichever way. */
    public void ended(RequestDigest request) {
        running.computeIfPresent(request, (any, count) -> count > 1 ? count - 1 : null);
    }

    /** Notes that a request was answered whole. */
    public void answered(RequestDigest request, long nowMillis) {
        answers.add(request, nowMillis);
        Evidence evidence = suspects.get(request);
        if (evidence != null && evidence.openCount() > 0) {
            clear(request, evidence);
            review(request);
        }
    }

    /**
     * Notes that an attempt broke off; until it is known whether its server has ended, this entry believes so.
     *
     * @param server incarnation of the server
     * @param round what {@link #sent} said of the attempt
     * @return whether it matters if the server has ended
     */
    public boolean brokeOff(RequestDigest request, String server, int round, long nowMillis) {
        if (answers.speakFor(request, nowMillis)) {
            return false;
        }
        unconfirmed.computeIfAbsent(server, any -> new HashMap<>()).merge(request, round, Math::max);
        add(request, server, round, nowMillis);
        review(request);
        return true;
    }

    /** Notes that a server has ended under the requests that broke off there; returns how many these are. */
    public int confirmed(String server, long nowMillis) {
        Map<RequestDigest, Integer> requests = takeUnconfirmed(server);
        if (!requests.isEmpty()) {
            own.ended(server, requests, nowMillis);
        }
        return requests.size();
    }

    /** Notes that a server has not ended; returns how many requests broke off there for another reason. */
    public int refuted(String server) {
        Map<RequestDigest, Integer> requests = takeUnconfirmed(server);
        requests.keySet().forEach(request -> takeBack(request, server));
        requests.keySet().forEach(this::review);
        return requests.size();
    }

    private Map<RequestDigest, Integer> takeUnconfirmed(String server) {
        Map<RequestDigest, Integer> requests = unconfirmed.remove(server);
        return requests == null ? Map.of() : requests;
    }

    private void takeBack(RequestDigest request, String server) {
        Evidence evidence = suspects.get(request);
        if (evidence != null) {
            evidence.takeBack(server);
        }
    }

    /** Takes what another entry has seen, or this box before its last start. */
    public void heard(SuspectReport report, long nowMillis) {
        Set<RequestDigest> touched = new HashSet<>(report.cleared().keySet());
        report.cleared()
                .forEach((request, servers) -> evidence(request, nowMillis).clear(servers));
        report.crashes()
                .forEach((server, requests) -> requests.forEach((request, round) -> {
                    boolean isNew = add(request, server, round, nowMillis);
                    if (isNew && answers.speakFor(request, nowMillis)) {
                        clear(request, evidence(request, nowMillis));
                    }
                    touched.add(request);
                }));
        touched.forEach(this::review);
    }

    /** What this entry has seen itself, for all others. */
    public SuspectReport report() {
        return own.report();
    }

    /** Whether {@link #report} holds what others should know at once. */
    public boolean hasNews() {
        return own.hasNews();
    }

    /** Whether {@link #report} differs from what it was when it was asked for last. */
    public boolean hasChanged() {
        return own.hasChanged();
    }

    /** Takes over what this box had seen before its last start, so that it goes on telling that. */
    public void resume(SuspectReport earlier, long nowMillis) {
        own.resume(earlier, nowMillis);
        heard(earlier, nowMillis);
    }

    /** Forgets what is too old to matter. */
    public void expire(long nowMillis) {
        long oldest = nowMillis - limits.keptMillis();
        own.expire(oldest);
        List<RequestDigest> old = suspects.entrySet().stream()
                .filter(entry -> entry.getValue().lastCrashMillis() <= oldest)
                .map(Map.Entry::getKey)
                .toList();
        old.forEach(this::forget);
    }

    /** Requests that are under suspicion. */
    public int suspects() {
        return suspects.size();
    }

    /** Requests that are no longer sent. */
    public int blocked() {
        return blocked.size();
    }

    private boolean add(RequestDigest request, String server, int round, long nowMillis) {
        return evidence(request, nowMillis).add(server, round, nowMillis);
    }

    private Evidence evidence(RequestDigest request, long nowMillis) {
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
                .min(Comparator.comparingInt((Map.Entry<RequestDigest, Evidence> entry) ->
                                entry.getValue().openCount())
                        .thenComparingLong(entry -> entry.getValue().lastCrashMillis()))
                .map(Map.Entry::getKey)
                .ifPresent(this::forget);
    }

    private void clear(RequestDigest request, Evidence evidence) {
        evidence.clearAll();
        own.forgive(request);
        if (evidence.all().size() >= CRASHES_WORTH_CLEARING) {
            own.cleared(request, evidence.all());
        }
    }

    private void forget(RequestDigest request) {
        suspects.remove(request);
        own.forgetCleared(request);
        if (blocked.remove(request)) {
            events.unblocked(request);
        }
    }

    private void review(RequestDigest request) {
        Evidence evidence = suspects.get(request);
        if (evidence != null && speaksAgainst(evidence)) {
            if (blocked.add(request)) {
                events.blocked(request, evidence.open());
            }
        } else if (blocked.remove(request)) {
            events.unblocked(request);
        }
    }

    private boolean speaksAgainst(Evidence evidence) {
        return evidence.weight() >= limits.crashes();
    }
}
