package org.streamring.kernel.prepaid;

import java.util.HashSet;
import java.util.Set;

/**
 * The other entries that witness this incarnation's use beyond its marks, as far as the marks row that is in force can
 * be known here.
 *
 * <p>A successor asks the witnesses that the row names. While the outcome of a write is not known, only those count
 * that are named before and after it. Confined to one thread.
 */
public final class DurableWitnesses {
    private Set<String> usable = Set.of();
    private Set<String> durable = Set.of();
    private boolean mayBeNamed;
    private boolean uncertain;

    /** Incarnations of entries whose notes a successor finds whatever became of the writes in progress. */
    public Set<String> usable() {
        return usable;
    }

    /** Whether no row that may be in force names a witness, so that a successor takes nothing back. */
    boolean none() {
        return !mayBeNamed;
    }

    /** Notes that a row was sent. */
    public void proposed(Set<String> witnesses) {
        Set<String> both = new HashSet<>(usable);
        both.retainAll(witnesses);
        usable = Set.copyOf(both);
        mayBeNamed |= !witnesses.isEmpty();
    }

    /** Notes that a row is in force. */
    public void confirmed(Set<String> witnesses) {
        usable = Set.copyOf(witnesses);
        durable = usable;
        mayBeNamed = !usable.isEmpty();
        uncertain = false;
    }

    /** Notes that the row last sent did not take effect; an older one without an answer may still do so. */
    public void refused() {
        if (!uncertain) {
            usable = durable;
            mayBeNamed = !usable.isEmpty();
        }
    }

    /** Notes that nobody knows whether the row last sent took effect. */
    public void unanswered() {
        uncertain = true;
    }
}
