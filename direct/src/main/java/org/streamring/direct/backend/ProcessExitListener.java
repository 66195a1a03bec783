package org.streamring.direct.backend;

/** Receives what is found about the process of a server after an attempt on it broke. */
@FunctionalInterface
public interface ProcessExitListener {
    /** Called when the process was checked: whether it has exited. */
    void checked(boolean exited);

    /** Whether a later process than that of the attempt is listed at the address of the server. */
    default boolean isReplaced() {
        return false;
    }

    /**
     * Called at most once, some time after a check that found a process: it had replaced that of the attempt. {@link
     * #checked} is called again afterwards.
     */
    default void foundReplaced() {}
}
