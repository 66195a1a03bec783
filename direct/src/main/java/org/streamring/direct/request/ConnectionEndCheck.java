package org.streamring.direct.request;

import java.util.function.Consumer;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.backend.BackendPool;
import org.streamring.kernel.registry.BackendInstance;

/**
 * Tells an answer that ends with its connection from one that breaks off as the process of its server exits: all
 * connections of an exiting process end in the same way. Confined to the event loop.
 */
final class ConnectionEndCheck {
    private final BackendPool pool;
    private final PlannedEnds plannedEnds;
    private final BackendInstance instance;

    ConnectionEndCheck(BackendPool pool, PlannedEnds plannedEnds, BackendInstance instance) {
        this.pool = pool;
        this.plannedEnds = plannedEnds;
        this.instance = instance;
    }

    /** Whether the end of an answer may be that of the process. */
    boolean isNeededFor(AnswerHead head) {
        return head.endsWithConnection() && !plannedEnds.isExpected(instance);
    }

    /** Checks whether the process has exited unexpectedly, and passes on the result. */
    void run(Consumer<Boolean> listener) {
        pool.checkProcessExited(exited -> listener.accept(exited && !plannedEnds.isExpected(instance)));
    }
}
