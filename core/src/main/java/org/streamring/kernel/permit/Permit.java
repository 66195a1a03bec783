package org.streamring.kernel.permit;

/**
 * Permission to send one request to a backend server that announces a limit.
 *
 * @param incarnation incarnation of the server
 * @param askedMillis when it was requested; its validity starts then, so that a late grant has no effect
 */
public record Permit(String incarnation, long askedMillis) {}
