package org.streamring.kernel.permit;

/**
 * Leave to send one request to a backend server that names a limit.
 *
 * @param incarnation the server
 * @param askedMillis when it was asked for: it is valid for a time from then on, so that late news grants nothing
 */
public record Permit(String incarnation, long askedMillis) {}
