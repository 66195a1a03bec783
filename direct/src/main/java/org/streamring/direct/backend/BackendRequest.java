package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it is sent to a backend server.
 *
 * @param id identifier that the answer has to repeat
 * @param method HTTP method
 * @param target request target, unchanged from the request of the caller
 * @param headers headers without hop-by-hop headers
 * @param body complete body
 * @param urgency urgency from 0, the most urgent, to 9
 * @param recentlyUsedOnly whether only a recently used idle connection may be reused, because the request is not
 *     repeatable
 */
@SuppressWarnings("ArrayRecordComponent") // the array is passed on without a copy
public record BackendRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        int urgency,
        boolean recentlyUsedOnly) {}
