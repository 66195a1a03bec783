package org.streamring.kernel.prepaid;

/**
 * Usage cap of an account, while writes of it are in progress. During a write, use stays within both the cap in the
 * store and the one being written; each cap rises from the time of its own write. Confined to one thread.
 */
final class DurableUsageCap {
    private Mark confirmedCap = Mark.of(0);
    private Mark newest = Mark.of(0);
    private boolean uncertain;

    /** Returns the tokens that may be used. */
    long usable(StoreSilence sinceConfirmedWrite) {
        long usableOfNewest = sinceConfirmedWrite.usable(newest);
        return uncertain
                ? usableOfNewest
                : Math.min(usableOfNewest, sinceConfirmedWrite.usableOfConfirmed(confirmedCap));
    }

    /** Returns a cap that exceeds none of the caps that may be in the store. */
    Mark lowest() {
        return lowest(confirmedCap, newest);
    }

    void proposed(Mark cap) {
        newest = uncertain ? lowest(newest, cap) : cap;
    }

    void confirmed(Mark cap) {
        confirmedCap = cap;
        newest = cap;
        uncertain = false;
    }

    /** Notes that the last write did not take effect; an earlier one of unknown outcome may still do so. */
    void refused() {
        if (!uncertain) {
            newest = confirmedCap;
        }
    }

    void unanswered() {
        newest = lowest();
        confirmedCap = newest;
        uncertain = true;
    }

    private static Mark lowest(Mark one, Mark other) {
        return new Mark(
                Math.min(one.start(), other.start()),
                Math.min(one.atOnce(), other.atOnce()),
                Math.min(one.atSilenceTimeout(), other.atSilenceTimeout()));
    }
}
