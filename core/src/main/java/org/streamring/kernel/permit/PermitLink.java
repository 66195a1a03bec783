package org.streamring.kernel.permit;

/** Sends permit requests and limit updates to other entries. */
public interface PermitLink {
    /** Sends a permit request; the answer, if there is one, carries the same number. */
    void sendRequest(String entry, long number, PermitAsk ask);

    /** Sends a limit update to another entry. */
    void sendUpdate(String entry, LimitNews update);
}
