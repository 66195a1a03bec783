package org.streamring.kernel.suspect;

/**
 * Identity of a request across repetitions: a keyed digest of its path, client account and body.
 *
 * @param text the digest in URL-safe Base64, suitable for rows and log lines
 */
public record RequestDigest(String text) {}
