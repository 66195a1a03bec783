package org.streamring.direct.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests to backend servers. Unlike the encoder of the library, it writes each byte of the target as it was
 * received: targets are decoded by ISO 8859-1, byte by byte.
 */
final class BackendRequestEncoder extends HttpRequestEncoder {
    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        String line = request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n";
        buffer.writeBytes(line.getBytes(StandardCharsets.ISO_8859_1));
    }
}
