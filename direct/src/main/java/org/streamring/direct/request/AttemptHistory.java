package org.streamring.direct.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;

/** Results of the attempts of one request so far. Confined to the event loop. */
final class AttemptHistory {
    private final Set<String> excludedReplicas = new HashSet<>();
    private Optional<BackendInstance> lastReplica = Optional.empty();
    private Optional<AttemptEnd> lastEnd = Optional.empty();
    private int sent;
    private int unsent;
    private boolean mayHaveRun;
    private Optional<String> silentReplica = Optional.empty();

    /** Records the replica chosen for the next attempt. */
    void chosen(BackendInstance instance) {
        excludedReplicas.add(instance.id());
        lastReplica = Optional.of(instance);
    }

    /** Counts an attempt that may have reached its replica. */
    void sent() {
        sent++;
    }

    /** Records that an attempt was cancelled; it may have run if it was sent. */
    void cancelled(boolean wasSent) {
        mayHaveRun |= wasSent;
    }

    /** Records how an attempt ended. */
    void ended(AttemptEnd end) {
        releaseAnswer();
        lastEnd = Optional.of(end);
        switch (end.kind()) {
            case NOT_SENT -> unsent++;
            case WITHDRAWN -> {
                unsent++;
                lastReplica.map(BackendInstance::id).ifPresent(excludedReplicas::remove);
            }
            case FAILED -> mayHaveRun = true;
            case BROKEN -> {
                mayHaveRun = true;
                silentReplica.filter(id -> !id.equals(lastReplicaId())).ifPresent(excludedReplicas::remove);
            }
            case SILENT -> {
                mayHaveRun = true;
                silentReplica = lastReplica.map(BackendInstance::id);
            }
            case UNHEARD -> {
                mayHaveRun = true;
                silentReplica = lastReplica.map(BackendInstance::id);
                silentReplica.ifPresent(excludedReplicas::remove);
            }
            case NOT_RUN -> silentReplica.ifPresent(excludedReplicas::remove);
            default -> {}
        }
    }

    /** Gives back the memory of the failure answer that ended the last attempt, as it will not be passed on. */
    void releaseAnswer() {
        lastEnd.flatMap(AttemptEnd::answer).ifPresent(answer -> answer.release().run());
    }

    /** Returns the identifiers of the replicas that are excluded from further attempts. */
    Set<String> excludedReplicas() {
        return excludedReplicas;
    }

    /** Returns the identifiers of the replicas that are excluded from further attempts, apart from one of them. */
    Set<String> excludedExcept(BackendInstance instance) {
        Set<String> excluded = new HashSet<>(excludedReplicas);
        excluded.remove(instance.id());
        return excluded;
    }

    /** Returns the replica that was chosen last; empty if none was chosen. */
    Optional<BackendInstance> lastReplica() {
        return lastReplica;
    }

    /** Returns the identifier of the replica that was chosen last; an empty string if none was chosen. */
    String lastReplicaId() {
        return lastReplica.map(BackendInstance::id).orElse("");
    }

    /** Returns the software version of the replica that was chosen last; an empty string if none was chosen. */
    String lastSoftwareVersion() {
        return lastReplica.map(BackendInstance::softwareVersion).orElse("");
    }

    /** Returns how the last attempt ended; empty if none has ended. */
    Optional<AttemptEnd> lastEnd() {
        return lastEnd;
    }

    /** Returns the number of attempts that may have reached a replica. */
    int attempts() {
        return sent;
    }

    /** Returns the number of attempts for which no byte was sent. */
    int unsent() {
        return unsent;
    }

    /**
     * Whether a silent attempt was ended for another one that brought no answer. The request has lost its run then, and
     * waits for another one rather than ending.
     */
    boolean lostItsRun() {
        return silentReplica.isPresent() && lastEnd.flatMap(AttemptEnd::answer).isEmpty();
    }

    /** Whether the request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
