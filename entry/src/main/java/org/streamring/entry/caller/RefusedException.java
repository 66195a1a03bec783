package org.streamring.entry.caller;

import org.streamring.model.request.Refusal;

/** A call that is refused before it ran; carries the step and what the caller is told. */
public class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /** Creates one. */
    public RefusedException(Refusal refusal) {
        super(refusal.reason().step() + ": " + refusal.message());
        this.refusal = refusal;
    }

    /** What the caller is told. */
    public Refusal refusal() {
        return refusal;
    }
}
