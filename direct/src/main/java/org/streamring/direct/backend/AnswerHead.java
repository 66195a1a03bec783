package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Status and headers of a backend server's answer.
 *
 * @param status HTTP status
 * @param headers headers as received
 */
public record AnswerHead(int status, HttpHeaders headers) {}
