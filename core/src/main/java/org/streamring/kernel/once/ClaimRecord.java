package org.streamring.kernel.once;

/**
 * Contents of a claim's row: the only sidecar that may run the request.
 *
 * @param sidecar name of the backend server whose sidecar may run it
 * @param sidecarIncarnation incarnation of the sidecar that may run it
 * @param bodyHash hash of method, path and body
 * @param nonce unique value of this claim, which identifies its row if the answer to the write was lost
 */
public record ClaimRecord(String sidecar, String sidecarIncarnation, String bodyHash, String nonce) {}
