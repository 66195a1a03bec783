package org.streamring.sidecar.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.streamring.net.generated.Wire.Submit;

/** Sends attempts to the backend server. Never repeats a call by itself. */
public final class BackendClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LONGEST_CALL = Duration.ofMinutes(30);

    private final BackendSettings settings;
    private final AsyncHttpClient client;

    /** Creates one without connections. */
    public BackendClient(BackendSettings settings) {
        this.settings = settings;
        this.client = Dsl.asyncHttpClient(Dsl.config()
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(LONGEST_CALL)
                .setReadTimeout(LONGEST_CALL)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(1)
                // A pooled connection may be closed just as it is used, and then it is not known what was forwarded.
                .setKeepAlive(false)
                .setThreadPoolName("backend"));
    }

    /** Sends an attempt. */
    public BackendCall start(Submit submit, BackendListener listener) {
        RequestBuilder request = new RequestBuilder(submit.getMethod())
                .setUrl(settings.url() + submit.getPath())
                .setBody(submit.getBody().toByteArray());
        submit.getHeadersList().forEach(header -> request.addHeader(header.getName(), header.getValue()));
        request.setHeader("X-Request-Id", submit.getAttempt());
        request.setHeader("X-Streamring-Request", submit.getRequestKey());
        BackendCall call = new BackendCall(submit, settings, listener, this::sendCancel);
        client.executeRequest(request, call);
        return call;
    }

    private void sendCancel(String attempt) {
        client.executeRequest(
                new RequestBuilder("POST").setUrl(settings.url() + "/v1/cancel").setHeader("X-Request-Id", attempt));
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
