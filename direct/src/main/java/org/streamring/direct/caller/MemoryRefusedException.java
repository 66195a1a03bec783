package org.streamring.direct.caller;

import org.streamring.kernel.memory.MemoryRefusal;

/** The body of a request got no memory. */
final class MemoryRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final MemoryRefusal reason;

    MemoryRefusedException(MemoryRefusal reason) {
        super("no memory for the body: " + reason);
        this.reason = reason;
    }

    MemoryRefusal reason() {
        return reason;
    }
}
