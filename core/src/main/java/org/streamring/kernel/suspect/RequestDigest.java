package org.streamring.kernel.suspect;

/**
 * What a request is known by when it comes again: a keyed digest of its path, client account and body.
 *
 * @param text the digest as letters and digits, fit for rows and log lines
 */
public record RequestDigest(String text) {}
