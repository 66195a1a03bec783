package org.streamring.entry.caller;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.streamring.net.generated.Wire.Header;

/**
 * One call of a caller, as HTTP delivered it.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers end-to-end headers, without those meant for the entry
 * @param body body
 * @param accountKey key of the client account; empty if none was sent
 * @param idempotencyKey identifier from the caller
 * @param notRepeatable whether the caller marked the call as not repeatable
 * @param deadline time the caller gives it
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
