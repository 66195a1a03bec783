package org.streamring.sidecar.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.http.AnswerChecks;

/** Sends attempts to the backend server. Calls are never retried by this client. */
public final class BackendClient implements AutoCloseable {
    static final String REQUEST_ID = "X-Request-Id";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofMinutes(30);

    private final BackendSettings settings;
    private final AsyncHttpClient client;

    /** Creates a client. Connections are opened per call. */
    public BackendClient(BackendSettings settings) {
        this.settings = settings;
        this.client = Dsl.asyncHttpClient(Dsl.config()
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(CALL_TIMEOUT)
                .setReadTimeout(CALL_TIMEOUT)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(1)
                // If a pooled connection is closed while it is used, it is unknown whether the request was forwarded.
                .setKeepAlive(false)
                .setHttpAdditionalChannelInitializer(AnswerChecks.withSingleHeaders(List.of(REQUEST_ID)))
                .setThreadPoolName("backend"));
    }

    /** Sends an attempt. The answer is passed to the listener on an I/O thread of the client. */
    public BackendCall start(Submit submit, BackendListener listener) {
        RequestBuilder request = new RequestBuilder(submit.getMethod())
                .setUrl(settings.url() + submit.getPath())
                .setBody(submit.getBody().toByteArray());
        submit.getHeadersList().forEach(header -> request.addHeader(header.getName(), header.getValue()));
        request.setHeader(REQUEST_ID, submit.getAttempt());
        request.setHeader("X-Streamring-Request", submit.getRequestKey());
        BackendCall call = new BackendCall(submit, settings, listener, this::sendCancel);
        client.executeRequest(request, call);
        return call;
    }

    private void sendCancel(String attempt) {
        client.executeRequest(
                new RequestBuilder("POST").setUrl(settings.url() + "/v1/cancel").setHeader(REQUEST_ID, attempt));
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
