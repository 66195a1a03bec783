package org.streamring.direct.request;

import org.streamring.kernel.placement.ReplicaState;

/** Whether one attempt counts as silent at its replica. Confined to the event loop. */
final class SilentMark {
    private final ReplicaState state;
    private boolean marked;

    SilentMark(ReplicaState state) {
        this.state = state;
    }

    void set() {
        if (!marked) {
            marked = true;
            state.attemptSilent();
        }
    }

    void clear() {
        if (marked) {
            marked = false;
            state.attemptNoLongerSilent();
        }
    }
}
