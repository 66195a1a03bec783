package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.streamring.net.generated.Wire.Header;

/**
 * HTTP request of a caller.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers end-to-end headers, without those addressed to the entry
 * @param body body
 * @param accountKey key of the client account; empty if none was sent
 * @param idempotencyKey identifier from the caller
 * @param notRepeatable whether the caller marked the call as not repeatable
 * @param deadline time limit set by the caller
 */
public record Call(
        String method,
        String path,
        List<Header> headers,
        ByteString body,
        String accountKey,
        Optional<String> idempotencyKey,
        boolean notRepeatable,
        Optional<Duration> deadline) {}
