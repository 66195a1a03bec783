package org.streamring.direct.request;

import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;

/** Tells backend servers that have announced their end from those whose process would exit unexpectedly. */
final class PlannedEnds {
    private final BackendRegistry registry;

    PlannedEnds(BackendRegistry registry) {
        this.registry = registry;
    }

    /** Whether a server is shutting down or no longer listed, so that its process is expected to exit. */
    boolean isExpected(BackendInstance instance) {
        boolean running = registry.find(instance.id())
                .filter(listed -> !registry.isShuttingDown(listed))
                .isPresent();
        return !running || registry.isShuttingDown(instance);
    }
}
