package org.streamring.net.peer;

/**
 * Who is at one end of a connection.
 *
 * @param role kind of process
 * @param name name of its box
 * @param incarnation this run of the process
 */
public record PeerIdentity(Role role, String name, String incarnation) {
    /** Kinds of processes. */
    public enum Role {
        /** Entry. */
        ENTRY,
        /** Sidecar. */
        SIDECAR
    }
}
