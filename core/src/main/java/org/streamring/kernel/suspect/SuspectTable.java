package org.streamring.kernel.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which requests are blocked because servers ended while processing them.
 *
 * <p>Suspects are the requests whose attempts broke off when a server ended, and the parts of their prompts, which
 * other requests may share. The entries report their suspects to each other. A suspect is blocked when enough servers
 * have ended under it one after the other; servers that end together count once, since a popular suspect is processed
 * by many servers, which may end together for another reason. An answer clears a suspect of the crashes before it.
 *
 * <p>A request is not sent if it holds a blocked suspect, unless other blocked suspects, which the request does not
 * hold, account for the same crashes: sending it tells which of them crash the servers. Likewise, a suspect that only
 * requests of one account held is blocked for this account only. When a block expires, one entry sends one request as a
 * trial. Confined to one thread.
 */
public final class SuspectTable {
    /** Time after which to decide again on a request that waits for a trial, here or at another entry. */
    private static final long TRIAL_WAIT_MILLIS = 1_000;

    /** Number of crashes from which a clearance is reported to other entries, which may have received these crashes. */
    private static final int MIN_CRASHES_TO_REPORT_CLEARED = 2;

    /** Part of the suspects, one in this number, that is removed when their maximum number is reached. */
    private static final int REMOVED_SHARE = 8;

    private final SuspectLimits limits;
    private final Predicate<SuspectId> triesHere;
    private final SuspectEvents events;
    private final Map<SuspectId, Evidence> suspects = new HashMap<>();
    private final Map<String, PendingEnd> unconfirmed = new HashMap<>();
    private final Map<SuspectId, Integer> running = new HashMap<>();
    private final Set<SuspectId> blocked = new HashSet<>();
    private final RecentAnswers answeredRequests;
    private final RecentAnswers answeredParts;
    private final LocalObservations localObservations = new LocalObservations();
    private final KnownEnds knownEnds = new KnownEnds();
    private long sequence;

    /**
     * Creates a table without suspects.
     *
     * @param triesHere whether a suspect is tried at this entry after its block; true at one entry of the fleet
     */
    public SuspectTable(SuspectLimits limits, Predicate<SuspectId> triesHere, SuspectEvents events) {
        this.limits = limits;
        this.triesHere = triesHere;
        this.events = events;
        this.answeredRequests = new RecentAnswers(limits.answerMillis(), limits.mostAnswers());
        this.answeredParts = new RecentAnswers(limits.answerMillis(), limits.mostAnswers());
    }

    /** Decides whether a request may be sent now. */
    public SuspectDecision decide(RequestTraits request, long nowMillis) {
        if (blocked.isEmpty()) {
            return SuspectDecision.UNSUSPECTED;
        }
        Set<SuspectId> held = request.suspects();
        SuspectDecision decision = SuspectDecision.UNSUSPECTED;
        for (SuspectId suspect : held) {
            if (blocked.contains(suspect) && isBlockedBy(suspect, held, request.account())) {
                decision = stricter(decision, decide(suspect, nowMillis));
            }
        }
        return decision;
    }

    private static SuspectDecision stricter(SuspectDecision first, SuspectDecision second) {
        return first.suspect().isEmpty() || second.retryAfterMillis() > first.retryAfterMillis() ? second : first;
    }

    private boolean isBlockedBy(SuspectId suspect, Set<SuspectId> held, SuspectId account) {
        Evidence evidence = evidenceOf(suspect);
        Set<String> servers = evidence.uncleared();
        boolean mustDecide = servers.size() < limits.of(suspect).lastCrashes();
        boolean otherAccount = evidence.companions().stream()
                .anyMatch(companion -> companion.kind() == SuspectId.Kind.ACCOUNT && !companion.equals(account));
        return !otherAccount && !isExplained(servers, held, mustDecide);
    }

    /**
     * Returns whether blocked suspects that the request doesn't hold together account for these crashes.
     *
     * @param mustDecide whether suspects with no more crashes than these are enough, so that the request is sent to
     *     tell which of them crash servers
     */
    private boolean isExplained(Set<String> servers, Set<SuspectId> held, boolean mustDecide) {
        int minCrashes = mustDecide ? servers.size() : servers.size() + 1;
        Set<String> unexplained = new HashSet<>(servers);
        blocked.stream()
                .filter(other -> !held.contains(other))
                .map(this::evidenceOf)
                .filter(other -> other.unclearedCount() >= minCrashes)
                .forEach(other -> unexplained.removeAll(other.uncleared()));
        return unexplained.isEmpty();
    }

    private SuspectDecision decide(SuspectId suspect, long nowMillis) {
        int crashes = evidenceOf(suspect).unclearedCount();
        long remainingMillis = remainingBlockMillis(suspect, nowMillis);
        if (remainingMillis > 0) {
            return new SuspectDecision(false, Optional.of(suspect), crashes, remainingMillis);
        }
        boolean mustWait = running.containsKey(suspect) || !triesHere.test(suspect);
        return new SuspectDecision(!mustWait, Optional.of(suspect), crashes, mustWait ? TRIAL_WAIT_MILLIS : 0);
    }

    private long remainingBlockMillis(SuspectId suspect, long nowMillis) {
        Evidence evidence = evidenceOf(suspect);
        int sends = evidence.unclearedCount() + evidence.trials();
        long blockMillis = limits.blockMillis(suspect, sends, evidence.answeredBefore());
        return evidence.blockStartMillis() + blockMillis - nowMillis;
    }

    private Evidence evidenceOf(SuspectId blockedSuspect) {
        Evidence evidence = suspects.get(blockedSuspect);
        if (evidence == null) {
            throw new IllegalStateException("no evidence for " + blockedSuspect);
        }
        return evidence;
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param incarnation incarnation of the server
     */
    public SentAttempt sent(RequestTraits request, String incarnation, long nowMillis) {
        Map<SuspectId, Integer> rounds = new HashMap<>();
        boolean trial = false;
        for (SuspectId suspect : request.suspects()) {
            running.merge(suspect, 1, Integer::sum);
            Evidence evidence = suspects.get(suspect);
            if (evidence != null) {
                rounds.put(suspect, evidence.lastRound() + 1);
            }
            if (evidence != null && blocked.contains(suspect) && remainingBlockMillis(suspect, nowMillis) <= 0) {
                evidence.trialSent(nowMillis);
                trial = true;
            }
        }
        return new SentAttempt(request, knownEnds.currentName(incarnation), rounds, trial);
    }

    /**
     * Records the end of an attempt, with or without an answer.
     *
     * @param wasSent whether the request may have reached the server
     */
    public void ended(SentAttempt attempt, boolean wasSent) {
        for (SuspectId suspect : attempt.traits().suspects()) {
            running.computeIfPresent(suspect, (any, count) -> count > 1 ? count - 1 : null);
            Evidence evidence = suspects.get(suspect);
            if (attempt.trial() && !wasSent && evidence != null && evidence.trials() > 0) {
                evidence.trialWithdrawn();
            }
        }
    }

    /** Records that the answer to an attempt has begun. */
    public void begun(SentAttempt attempt) {
        attempt.begun(sequence);
    }

    /**
     * Records that an answer goes on after its beginning, which clears the parts of the prompt of the crashes that were
     * recorded before the answer began.
     */
    public void continued(SentAttempt attempt, long nowMillis) {
        for (SuspectId part : attempt.traits().parts()) {
            answeredParts.add(part, nowMillis);
            Evidence evidence = suspects.get(part);
            if (evidence != null) {
                clear(part, evidence, evidence.serversUpTo(attempt.begunSequence()));
            }
        }
    }

    /** Records a complete answer, which clears the request and the parts of its prompt. */
    public void answered(SentAttempt attempt, long nowMillis) {
        begun(attempt);
        continued(attempt, nowMillis);
        SuspectId request = attempt.traits().request();
        answeredRequests.add(request, nowMillis);
        Evidence evidence = suspects.get(request);
        if (evidence != null) {
            clear(request, evidence, evidence.allServers());
        }
    }

    /**
     * Records that an attempt broke off. Its server is assumed to have ended until this is confirmed or refuted.
     *
     * @param answerContinued whether the answer had gone on after its beginning; the parts of the prompt are then no
     *     suspects
     */
    public void brokeOff(SentAttempt attempt, boolean answerContinued, long nowMillis) {
        List<SuspectId> suspected = new ArrayList<>();
        if (!answeredRequests.protects(attempt.traits().request(), nowMillis)) {
            suspected.add(attempt.traits().request());
        }
        if (!answerContinued) {
            suspected.addAll(attempt.traits().parts());
        }
        if (suspected.isEmpty()) {
            return;
        }
        BrokenAttempt broken = unconfirmed
                .computeIfAbsent(attempt.server(), any -> new PendingEnd())
                .add(attempt, suspected, suspects::containsKey);
        add(attempt.server(), broken, nowMillis);
        broken.rounds().keySet().forEach(this::updateBlock);
    }

    /**
     * Confirms that a server has ended; returns the number of attempts with suspects that broke off there.
     *
     * @param server name of the server process, from {@link SentAttempt#server}
     */
    public int confirmed(String server, long nowMillis) {
        PendingEnd end = unconfirmed.remove(server);
        if (end == null) {
            return 0;
        }
        knownEnds.add(server, nowMillis);
        localObservations.ended(server, end.attempts(), nowMillis);
        return end.attempts().size();
    }

    /** Records that a server has not ended; returns the number of attempts that broke off there for another reason. */
    public int refuted(String server) {
        PendingEnd end = unconfirmed.remove(server);
        if (end == null) {
            return 0;
        }
        if (!knownEnds.contains(server)) {
            end.attempts().forEach(attempt -> attempt.rounds().keySet().forEach(suspect -> remove(suspect, server)));
        }
        return end.attempts().size();
    }

    private void remove(SuspectId suspect, String server) {
        Evidence evidence = suspects.get(suspect);
        if (evidence != null) {
            evidence.remove(server);
            updateBlock(suspect);
        }
    }

    /** Merges a report of another entry, or of the previous process on this box. */
    public void merge(SuspectReport report, long nowMillis) {
        Set<SuspectId> affected = new HashSet<>(report.cleared().keySet());
        report.cleared().forEach((suspect, servers) -> {
            evidence(suspect, nowMillis).clear(servers);
            localObservations.remove(suspect, servers);
        });
        report.crashes().forEach((server, attempts) -> {
            knownEnds.add(server, nowMillis);
            for (BrokenAttempt attempt : attempts) {
                add(server, attempt, nowMillis);
                affected.addAll(attempt.rounds().keySet());
            }
        });
        affected.forEach(this::updateBlock);
    }

    /** Returns the observations of this entry, for all other entries. */
    public SuspectReport report() {
        return localObservations.report();
    }

    /** Returns the observations of this entry since the last call, for the other entries that are connected. */
    public SuspectReport takeUnsent() {
        return localObservations.takeUnsent();
    }

    /** Returns whether {@link #takeUnsent} contains observations. */
    public boolean hasUnsent() {
        return localObservations.hasUnsent();
    }

    /** Returns whether {@link #report} has changed since it was last called. */
    public boolean hasChanged() {
        return localObservations.hasChanged();
    }

    /** Returns the crashes of all blocked suspects, whoever observed them, for an entry that has just connected. */
    public SuspectReport blockedSuspects() {
        Map<String, List<BrokenAttempt>> crashes = new HashMap<>();
        for (SuspectId suspect : blocked) {
            Evidence evidence = evidenceOf(suspect);
            for (String server : evidence.uncleared()) {
                crashes.computeIfAbsent(server, any -> new ArrayList<>())
                        .add(attemptOf(suspect, server, evidence.companions(server)));
            }
        }
        return new SuspectReport(crashes, Map.of());
    }

    private BrokenAttempt attemptOf(SuspectId suspect, String server, Set<SuspectId> companions) {
        Map<SuspectId, Integer> rounds = new HashMap<>();
        for (SuspectId companion : companions) {
            Evidence evidence = suspects.get(companion);
            if (evidence != null && evidence.hasUncleared(Set.of(server))) {
                rounds.put(companion, evidence.round(server));
            }
        }
        SuspectId request = first(companions, SuspectId.Kind.REQUEST).orElse(suspect);
        SuspectId account = first(companions, SuspectId.Kind.ACCOUNT).orElse(SuspectId.account(""));
        return new BrokenAttempt(request, account, rounds);
    }

    private static Optional<SuspectId> first(Collection<SuspectId> ids, SuspectId.Kind kind) {
        return ids.stream().filter(id -> id.kind() == kind).findFirst();
    }

    /** Restores the observations of the previous process on this box, so that they continue to be reported. */
    public void resume(SuspectReport earlier, long nowMillis) {
        localObservations.resume(earlier, nowMillis);
        merge(earlier, nowMillis);
    }

    /** Removes suspects whose retention period and block are over. */
    public void expire(long nowMillis) {
        List<SuspectId> old = suspects.keySet().stream()
                .filter(suspect -> isExpired(suspect, nowMillis))
                .toList();
        old.forEach(this::forget);
        long oldest = nowMillis - limits.keptMillis();
        localObservations.expire(oldest, suspects::containsKey);
        Set<String> used = new HashSet<>();
        suspects.values().forEach(evidence -> used.addAll(evidence.allServers()));
        knownEnds.expire(oldest, used);
    }

    private boolean isExpired(SuspectId suspect, long nowMillis) {
        boolean isBlocked = blocked.contains(suspect);
        long retention = limits.retentionMillis(suspect, isBlocked);
        boolean blockOver = !isBlocked || remainingBlockMillis(suspect, nowMillis) <= 0;
        return blockOver && evidenceOf(suspect).lastCrashMillis() <= nowMillis - retention;
    }

    /** Returns the number of suspects. */
    public int suspects() {
        return suspects.size();
    }

    /** Returns the number of blocked suspects of a kind. */
    public int blocked(SuspectId.Kind kind) {
        return (int) blocked.stream().filter(suspect -> suspect.kind() == kind).count();
    }

    private void add(String server, BrokenAttempt attempt, long nowMillis) {
        Set<SuspectId> companions = attempt.traits();
        sequence++;
        attempt.rounds().forEach((suspect, round) -> {
            Evidence evidence = evidence(suspect, nowMillis);
            boolean isNew = evidence.add(server, round, companions, sequence, nowMillis);
            if (isNew && answeredRequests.protects(suspect, nowMillis)) {
                clear(suspect, evidence, Set.of(server));
            } else if (isNew && evidence.unclearedCount() == 1) {
                evidence.setAnsweredBefore(answeredParts.protects(suspect, nowMillis));
            }
        });
    }

    private Evidence evidence(SuspectId suspect, long nowMillis) {
        Evidence known = suspects.get(suspect);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= limits.mostSuspects()) {
            forgetLeastSuspected();
        }
        Evidence created = new Evidence(nowMillis);
        suspects.put(suspect, created);
        return created;
    }

    /**
     * Removes suspects with few crashes; among these first the ones that came with many others, each of which may be
     * the cause instead.
     */
    private void forgetLeastSuspected() {
        List<SuspectId> least = suspects.keySet().stream()
                .sorted(Comparator.comparingInt(
                                (SuspectId suspect) -> evidenceOf(suspect).unclearedCount())
                        .thenComparingInt(
                                suspect -> -evidenceOf(suspect).companions().size())
                        .thenComparingLong(suspect -> evidenceOf(suspect).lastCrashMillis()))
                .limit(Math.max(1, limits.mostSuspects() / REMOVED_SHARE))
                .toList();
        least.forEach(this::forget);
    }

    private void clear(SuspectId suspect, Evidence evidence, Set<String> servers) {
        Set<String> newlyCleared = evidence.uncleared();
        newlyCleared.retainAll(servers);
        if (newlyCleared.isEmpty()) {
            return;
        }
        evidence.clear(newlyCleared);
        localObservations.remove(suspect, newlyCleared);
        if (evidence.allServers().size() >= MIN_CRASHES_TO_REPORT_CLEARED) {
            localObservations.cleared(suspect, evidence.cleared());
        }
        updateBlock(suspect);
    }

    private void forget(SuspectId suspect) {
        suspects.remove(suspect);
        localObservations.forgetCleared(suspect);
        if (blocked.remove(suspect)) {
            events.unblocked(suspect);
        }
    }

    private void updateBlock(SuspectId suspect) {
        Evidence evidence = suspects.get(suspect);
        if (evidence != null && reachesLimit(suspect, evidence)) {
            if (blocked.add(suspect)) {
                events.blocked(suspect, evidence.uncleared(), evidence.companions());
            }
        } else if (blocked.remove(suspect)) {
            events.unblocked(suspect);
        }
    }

    private boolean reachesLimit(SuspectId suspect, Evidence evidence) {
        return evidence.countedCrashes() >= limits.of(suspect).crashes();
    }
}
