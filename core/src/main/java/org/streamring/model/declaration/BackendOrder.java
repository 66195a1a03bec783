package org.streamring.model.declaration;

/**
 * Order of an operator to one backend server, which takes precedence over the box list.
 *
 * @param state requested state
 */
public record BackendOrder(State state) {
    /** States that an operator can request. */
    public enum State {
        /** The backend server accepts new attempts. */
        START,
        /** The backend server accepts no new attempts, and open requests are completed. */
        DRAIN,
        /** The backend server accepts no new attempts and is removed from all candidate lists. */
        STOP
    }
}
