package org.streamring.net.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete HTTP response.
 *
 * @param status HTTP status code
 * @param headers response headers
 * @param body response body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, HttpHeaders headers, byte[] body) {}
