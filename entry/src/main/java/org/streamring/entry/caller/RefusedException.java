package org.streamring.entry.caller;

import org.streamring.model.request.Refusal;

/** Thrown when a call is refused before it is run; contains the refusal that is sent to the caller. */
public class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /** Creates an exception from the refusal. */
    public RefusedException(Refusal refusal) {
        super(refusal.reason().step() + ": " + refusal.message());
        this.refusal = refusal;
    }

    /** Returns the refusal that is sent to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
