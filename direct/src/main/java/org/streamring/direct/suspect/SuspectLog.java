package org.streamring.direct.suspect;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.suspect.SuspectEvents;
import org.streamring.kernel.suspect.SuspectId;

/** Logs when requests and parts of prompts are blocked from being sent, and when they are unblocked. */
public final class SuspectLog implements SuspectEvents {
    private static final int MAX_LOGGED_COMPANIONS = 12;

    private final DecisionLog log;

    /** Creates a listener that writes to the given log. */
    public SuspectLog(DecisionLog log) {
        this.log = log;
    }

    @Override
    public void blocked(SuspectId suspect, Set<String> servers, Set<SuspectId> companions) {
        String others = companions.stream()
                .filter(companion -> !companion.equals(suspect))
                .map(SuspectId::text)
                .sorted()
                .limit(MAX_LOGGED_COMPANIONS)
                .collect(Collectors.joining(","));
        log.line(
                "suspect_blocked",
                "digest",
                suspect.text(),
                "servers",
                new TreeSet<>(servers),
                "together_with",
                others);
    }

    @Override
    public void unblocked(SuspectId suspect) {
        log.line("suspect_unblocked", "digest", suspect.text());
    }
}
