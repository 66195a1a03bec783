package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records the answer to a request that is not streamed. */
final class RecordedAnswer extends UnstreamedAnswer {
    private final CompletableFuture<String> written = new CompletableFuture<>();

    /** Returns the status and the body, after the answer was written. */
    String get() throws Exception {
        return written.get(5, TimeUnit.SECONDS);
    }

    boolean isWritten() {
        return written.isDone();
    }

    @Override
    public void writeFull(int status, HttpHeaders headers, byte[] body) {
        String text = status + " " + new String(body, StandardCharsets.UTF_8).strip();
        if (!written.complete(text)) {
            throw new IllegalStateException("a second answer: " + text);
        }
    }

    @Override
    public void abort(String reason) {
        throw new IllegalStateException("nothing is streamed here");
    }
}
