package org.streamring.direct.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;

/** What the attempts of one request have come to so far. Confined to the event loop. */
final class AttemptHistory {
    private final Set<String> tried = new HashSet<>();
    private Optional<BackendInstance> newest = Optional.empty();
    private Optional<AttemptEnd> lastEnd = Optional.empty();
    private int sent;
    private int unsent;
    private boolean mayHaveRun;

    /** A replica was chosen for the next attempt. */
    void chosen(BackendInstance instance) {
        tried.add(instance.id());
        newest = Optional.of(instance);
    }

    /** An attempt may have reached its replica. */
    void sent() {
        sent++;
    }

    /** An attempt that is given up may have run. */
    void givenUp(boolean wasSent) {
        mayHaveRun |= wasSent;
    }

    /** An attempt is over. */
    void ended(AttemptEnd end) {
        lastEnd = Optional.of(end);
        switch (end.kind()) {
            case NOT_SENT -> unsent++;
            case WITHDRAWN -> {
                unsent++;
                newest.map(BackendInstance::id).ifPresent(tried::remove);
            }
            case FAILED, BROKEN, SILENT -> mayHaveRun = true;
            case UNHEARD -> {
                mayHaveRun = true;
                newest.map(BackendInstance::id).ifPresent(tried::remove);
            }
            default -> {}
        }
    }

    /** Replicas that are not asked again. */
    Set<String> tried() {
        return tried;
    }

    /** The replica that was chosen last. */
    Optional<BackendInstance> newest() {
        return newest;
    }

    /** Identifier of the replica that was chosen last; empty if none was. */
    String newestId() {
        return newest.map(BackendInstance::id).orElse("");
    }

    /** How the last attempt ended; empty before one did. */
    Optional<AttemptEnd> lastEnd() {
        return lastEnd;
    }

    /** Attempts that may have reached a replica. */
    int attempts() {
        return sent;
    }

    /** Attempts of which no byte was sent. */
    int unsent() {
        return unsent;
    }

    /** Whether the request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
