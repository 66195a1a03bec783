package org.streamring.platform.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowText;
import org.streamring.net.http.AnswerChecks;

/** Blocking HTTP client of the platform. Never retries a call. */
final class PlatformHttpClient {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    private final URI base;
    private final String authorization;
    private final RunningTimeout timeout;
    private final AsyncHttpClient client;

    PlatformHttpClient(URI base, String key, Duration timeout) {
        this.base = base;
        this.authorization = "Bearer " + key;
        this.timeout = new RunningTimeout(timeout, System::nanoTime);
        this.client = Dsl.asyncHttpClient(Dsl.config()
                .setConnectTimeout(timeout)
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(1)
                .setHttpAdditionalChannelInitializer(AnswerChecks.withSingleHeaders(List.of()))
                .setThreadPoolName("platform"));
    }

    <T> T post(String step, String path, Object body, Class<T> answer) throws PlatformException {
        RequestBuilder request = new RequestBuilder("POST")
                .setUrl(base + path)
                .setHeader("Content-Type", "application/json")
                .setBody(RowText.write(body));
        return parse(step, call(step, request), answer);
    }

    <T> T get(String step, String path, Class<T> answer) throws PlatformException {
        return parse(step, call(step, new RequestBuilder("GET").setUrl(base + path)), answer);
    }

    void put(String step, String path, byte[] body) throws PlatformException {
        call(step, new RequestBuilder("PUT").setUrl(base + path).setBody(body));
    }

    byte[] getBytes(String step, String path) throws PlatformException {
        return call(step, new RequestBuilder("GET").setUrl(base + path)).getResponseBodyAsBytes();
    }

    private Response call(String step, RequestBuilder request) throws PlatformException {
        try {
            Response response = await(step, client.executeRequest(request.setHeader("Authorization", authorization)));
            if (response.getStatusCode() == NOT_FOUND) {
                throw new NotFoundException(step, base.toString());
            }
            if (response.getStatusCode() != OK) {
                throw new PlatformException(step, base.toString(), "status " + response.getStatusCode());
            }
            return response;
        } catch (ExecutionException e) {
            throw new PlatformException(step, base.toString(), String.valueOf(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(step, base.toString(), "interrupted");
        }
    }

    private Response await(String step, ListenableFuture<Response> call)
            throws PlatformException, ExecutionException, InterruptedException {
        try {
            return timeout.await(call);
        } catch (TimeoutException e) {
            throw new PlatformException(step, base.toString(), "no answer in time");
        } finally {
            call.cancel(true);
        }
    }

    private <T> T parse(String step, Response response, Class<T> type) throws PlatformException {
        try {
            return RowText.read(response.getResponseBody(), type);
        } catch (UncheckedIOException e) {
            throw new PlatformException(step, base.toString(), "malformed response: " + e.getMessage());
        }
    }

    void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Thrown if the platform responds with status 404. */
    static final class NotFoundException extends PlatformException {
        private static final long serialVersionUID = 1L;

        NotFoundException(String step, String peer) {
            super(step, peer, "not found");
        }
    }
}
