package org.streamring.direct.suspect;

import java.util.Set;
import java.util.TreeSet;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.suspect.SuspectEvents;
import org.streamring.kernel.suspect.SuspectId;

/** Logs when requests are blocked from being sent to backend servers, and when they are unblocked. */
public final class SuspectLog implements SuspectEvents {
    private final DecisionLog log;

    /** Creates a listener that writes to the given log. */
    public SuspectLog(DecisionLog log) {
        this.log = log;
    }

    @Override
    public void blocked(SuspectId request, Set<String> servers) {
        log.line("suspect_blocked", "digest", request.text(), "servers", new TreeSet<>(servers));
    }

    @Override
    public void unblocked(SuspectId request) {
        log.line("suspect_unblocked", "digest", request.text());
    }
}
