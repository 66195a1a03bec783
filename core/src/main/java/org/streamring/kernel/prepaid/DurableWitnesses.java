package org.streamring.kernel.prepaid;

import java.util.HashSet;
import java.util.Set;

/**
 * Other entries that record this incarnation's use above its usage caps, while writes of the row that names them are in
 * progress.
 *
 * <p>A successor asks the witnesses named in the stored row. While the outcome of a write is unknown, only the
 * witnesses named both before and after the write can be relied on. Confined to one thread.
 */
public final class DurableWitnesses {
    private Set<String> usable = Set.of();
    private Set<String> confirmedValue = Set.of();
    private boolean anyMayBeNamed;
    private boolean uncertain;

    /**
     * Returns the incarnations of the witnesses that the stored row names under every possible outcome of the writes in
     * progress, so that a successor finds their records.
     */
    public Set<String> usable() {
        return usable;
    }

    /** Returns whether the stored row certainly names no witness, so that a successor reclaims nothing. */
    boolean noneNamed() {
        return !anyMayBeNamed;
    }

    /** Notes that a row with these witnesses was sent. */
    public void proposed(Set<String> witnesses) {
        Set<String> namedInBoth = new HashSet<>(usable);
        namedInBoth.retainAll(witnesses);
        usable = Set.copyOf(namedInBoth);
        anyMayBeNamed |= !witnesses.isEmpty();
    }

    /** Notes that a row with these witnesses was confirmed. */
    public void confirmed(Set<String> witnesses) {
        usable = Set.copyOf(witnesses);
        confirmedValue = usable;
        anyMayBeNamed = !usable.isEmpty();
        uncertain = false;
    }

    /** Notes that the last row sent did not take effect; an earlier one of unknown outcome may still do so. */
    public void refused() {
        if (!uncertain) {
            usable = confirmedValue;
            anyMayBeNamed = !usable.isEmpty();
        }
    }

    /** Notes that the outcome of the last row sent is unknown. */
    public void outcomeUnknown() {
        uncertain = true;
    }
}
