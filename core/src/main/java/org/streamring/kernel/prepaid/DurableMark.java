package org.streamring.kernel.prepaid;

/**
 * An account's mark, as far as the marks row that is in force can be known here. While a row is on its way, no more may
 * be used than either of the two rows allows, each rising since its own time. Confined to one thread.
 */
final class DurableMark {
    private Mark inForce = Mark.of(0);
    private Mark newest = Mark.of(0);
    private boolean uncertain;

    /** Tokens that may be used. */
    long usable(StoreSilence silence) {
        long afterNewest = silence.usable(newest);
        return uncertain ? afterNewest : Math.min(afterNewest, silence.usableInForce(inForce));
    }

    /** The least of the marks that may be in force. */
    Mark least() {
        return least(inForce, newest);
    }

    void proposed(Mark mark) {
        newest = uncertain ? least(newest, mark) : mark;
    }

    void confirmed(Mark mark) {
        inForce = mark;
        newest = mark;
        uncertain = false;
    }

    /** The row last sent did not take effect; an older one without an answer may still do so. */
    void refused() {
        if (!uncertain) {
            newest = inForce;
        }
    }

    void unanswered() {
        newest = least();
        inForce = newest;
        uncertain = true;
    }

    private static Mark least(Mark one, Mark other) {
        return new Mark(
                Math.min(one.start(), other.start()),
                Math.min(one.atOnce(), other.atOnce()),
                Math.min(one.atPatience(), other.atPatience()));
    }
}
