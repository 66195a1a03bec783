package org.streamring.net.peer;

/**
 * Identity of the process at one end of a connection.
 *
 * @param role kind of process
 * @param name name of the box on which the process runs
 * @param incarnation identifier of this run of the process
 */
public record PeerIdentity(Role role, String name, String incarnation) {
    /** Kind of process. */
    public enum Role {
        /** Accepts requests from callers. */
        ENTRY,
        /** Runs next to a backend server and forwards requests to it. */
        SIDECAR
    }
}
