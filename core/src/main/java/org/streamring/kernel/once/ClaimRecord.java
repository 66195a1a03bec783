package org.streamring.kernel.once;

/**
 * Text of a claim's row: the one sidecar that may run the request.
 *
 * @param sidecar name of the backend server whose sidecar may run it
 * @param sidecarIncarnation incarnation that may run it
 * @param bodyHash hash of method, path and body
 * @param nonce identifies the claimant's try, so that a lost answer is resolved
 */
public record ClaimRecord(String sidecar, String sidecarIncarnation, String bodyHash, String nonce) {}
