package org.streamring.model.declaration;

/**
 * What an operator wants of one backend server, whatever the box list says.
 *
 * @param state wanted state
 */
public record BackendOrder(State state) {
    /** Wanted states. */
    public enum State {
        /** Takes new work. */
        START,
        /** Takes no new work; open requests finish. */
        DRAIN,
        /** Takes no new work and is taken out of every candidate list. */
        STOP
    }
}
