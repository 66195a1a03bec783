package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it goes to a backend server.
 *
 * @param id identifier that the answer must repeat
 * @param method method
 * @param target request target, unchanged from the caller's
 * @param headers headers without those of one connection
 * @param body whole body
 * @param urgency 0 being the most urgent, to 9
 * @param freshOnly whether an idle connection must have been used a moment ago, as the request can't be repeated
 */
@SuppressWarnings("ArrayRecordComponent") // bytes are handed on, not copied
public record BackendRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        int urgency,
        boolean freshOnly) {}
