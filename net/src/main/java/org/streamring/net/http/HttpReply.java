package org.streamring.net.http;

/**
 * Complete HTTP response.
 *
 * @param status HTTP status code
 * @param body response body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, byte[] body) {}
