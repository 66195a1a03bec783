package org.streamring.net.http;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param body whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, byte[] body) {}
