package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method method
 * @param target request target as sent
 * @param headers headers as sent
 * @param body whole body
 * @param arrivedMillis when it was whole, on the process's steady clock
 */
@SuppressWarnings("ArrayRecordComponent") // bytes are handed on, not copied
public record CallerRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body, long arrivedMillis) {}
