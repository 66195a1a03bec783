package org.streamring.kernel.suspect;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Crashes recorded for one suspect: servers that ended while they processed it, and those for which it is cleared. */
final class Evidence {
    private final Map<String, Crash> crashes = new HashMap<>();
    private final Set<String> cleared = new HashSet<>();
    private long lastCrashMillis;
    private long lastTrialMillis;
    private int trials;
    private boolean answeredBefore;

    /**
     * A crash.
     *
     * @param round latest round of the attempts that broke off
     * @param companions what all of these attempts held, the suspect included
     * @param sequence number of the crash in the order in which the table recorded them
     */
    private record Crash(int round, Set<SuspectId> companions, long sequence) {}

    /** Creates an instance without crashes, which is kept as long as if a crash had just been recorded. */
    Evidence(long nowMillis) {
        lastCrashMillis = nowMillis;
        lastTrialMillis = Long.MIN_VALUE;
    }

    /**
     * Adds a crash. Of a server that is recorded already, the later of the two rounds is kept, and what both attempts
     * held.
     *
     * @param round round in which the suspect was sent to the server
     * @param companions what the attempt held, the suspect included
     * @return whether the crash was not recorded before
     */
    boolean add(String server, int round, Set<SuspectId> companions, long sequence, long nowMillis) {
        Crash known = crashes.get(server);
        if (known != null) {
            Set<SuspectId> common = new HashSet<>(known.companions());
            common.retainAll(companions);
            crashes.put(server, new Crash(Math.max(known.round(), round), common, known.sequence()));
            return false;
        }
        crashes.put(server, new Crash(round, companions, sequence));
        lastCrashMillis = nowMillis;
        trials = Math.max(0, trials - 1);
        return true;
    }

    /** Removes a crash, as the server has not ended. */
    void remove(String server) {
        crashes.remove(server);
    }

    /** Clears the suspect of the given crashes, including crashes that are reported only later. */
    void clear(Collection<String> servers) {
        cleared.addAll(servers);
    }

    /** Returns the servers whose crashes don't count against the suspect. */
    Set<String> cleared() {
        return new TreeSet<>(cleared);
    }

    /** Returns the servers whose crashes were recorded up to the given sequence number. */
    Set<String> serversUpTo(long sequence) {
        Set<String> servers = new HashSet<>();
        crashes.forEach((server, crash) -> {
            if (crash.sequence() <= sequence) {
                servers.add(server);
            }
        });
        return servers;
    }

    /** Returns the servers that ended while processing the suspect and for which it was not cleared. */
    Set<String> uncleared() {
        Set<String> uncleared = new HashSet<>(crashes.keySet());
        uncleared.removeAll(cleared);
        return uncleared;
    }

    /** Returns the number of servers that ended while processing the suspect and for which it was not cleared. */
    int unclearedCount() {
        return uncleared().size();
    }

    /** Returns whether the suspect was not cleared of any of the given crashes. */
    boolean hasUncleared(Collection<String> servers) {
        return crashes.keySet().containsAll(servers) && servers.stream().noneMatch(cleared::contains);
    }

    /** Returns the latest round of attempts with a crash for which the suspect was not cleared; 0 if there is none. */
    int lastRound() {
        return uncleared().stream().mapToInt(this::round).max().orElse(0);
    }

    /** Returns the round of a recorded crash. */
    int round(String server) {
        Crash crash = crashes.get(server);
        return crash == null ? 0 : crash.round();
    }

    /**
     * Returns the number of crashes counted against the suspect: all of earlier rounds, and at most one of the last
     * round. A popular suspect is processed by many servers at once, and these may end together for another reason.
     */
    int countedCrashes() {
        int last = lastRound();
        long earlier =
                uncleared().stream().filter(server -> round(server) < last).count();
        return (int) earlier + Math.min(1, last);
    }

    /** Returns what the attempts on a recorded crash held, the suspect included. */
    Set<SuspectId> companions(String server) {
        Crash crash = crashes.get(server);
        return crash == null ? Set.of() : crash.companions();
    }

    /** Returns what all attempts held that broke off in crashes of which the suspect is not cleared. */
    Set<SuspectId> companions() {
        Set<SuspectId> common = null;
        for (String server : uncleared()) {
            if (common == null) {
                common = new HashSet<>(companions(server));
            } else {
                common.retainAll(companions(server));
            }
        }
        return common == null ? Set.of() : common;
    }

    /** Returns all servers that ended while processing the suspect, including those for which it was cleared. */
    Set<String> allServers() {
        return new TreeSet<>(crashes.keySet());
    }

    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /** Records whether the suspect had been answered shortly before the first crash. */
    void setAnsweredBefore(boolean answered) {
        answeredBefore = answered;
    }

    /** Returns whether the suspect had been answered shortly before the first crash that counts against it. */
    boolean answeredBefore() {
        return answeredBefore;
    }

    /** Records that the suspect is sent once after its block. */
    void trialSent(long nowMillis) {
        lastTrialMillis = nowMillis;
        trials++;
    }

    /** Records that a trial was not sent after all. */
    void trialWithdrawn() {
        lastTrialMillis = Long.MIN_VALUE;
        trials--;
    }

    /** Returns the number of trials that were sent from this entry and not followed by a crash. */
    int trials() {
        return trials;
    }

    /** Returns when the block began: at the last crash or trial. */
    long blockStartMillis() {
        return Math.max(lastCrashMillis, lastTrialMillis);
    }
}
