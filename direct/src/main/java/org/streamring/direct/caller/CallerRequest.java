package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method HTTP method
 * @param target request target as sent
 * @param headers headers as sent
 * @param body complete body
 * @param arrivedMillis time at which the request was complete, on the process's monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent") // the array is passed on without being copied
public record CallerRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body, long arrivedMillis) {}
