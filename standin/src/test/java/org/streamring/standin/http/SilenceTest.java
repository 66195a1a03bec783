package org.streamring.standin.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.engine.EngineStandin;
import org.streamring.standin.service.ServiceStandin;
import org.testng.annotations.Test;

public class SilenceTest {
    private static final long SILENCE_MILLIS = 700;
    private static final String SILENCE = "{\"millis\":" + SILENCE_MILLIS + "}";
    private static final EngineSettings ENGINE = EngineSettings.fast();
    /** Enough that the stream is still in progress when the silence begins. */
    private static final int TOKENS = 1_000;

    private static final String STREAM = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + TOKENS
            + ",\"standin_answer_tokens\":" + TOKENS + ",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    public void aSilentServiceAnswersRequestsOfOpenAndNewConnectionsAfterwards() throws Exception {
        try (ServiceStandin service = new ServiceStandin(0, 1)) {
            call(service.url() + "/a", "");
            long silentNanos = System.nanoTime();
            call(service.url() + "/control/silence", SILENCE);

            CompletableFuture<HttpResponse<String>> overOpenConnection =
                    client.sendAsync(request(service.url() + "/a", ""), HttpResponse.BodyHandlers.ofString());
            CompletableFuture<HttpResponse<String>> overNewConnection = HttpClient.newHttpClient()
                    .sendAsync(request(service.url() + "/a", ""), HttpResponse.BodyHandlers.ofString());

            for (CompletableFuture<HttpResponse<String>> answer : List.of(overOpenConnection, overNewConnection)) {
                assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
                assertThat(millisSince(silentNanos)).isGreaterThanOrEqualTo(SILENCE_MILLIS);
            }
            assertThat(service.records()).hasSize(3);
        }
    }

    @Test
    public void aSilentServiceAcceptsConnectionsButReadsNothing() throws Exception {
        try (ServiceStandin service = new ServiceStandin(0, 1)) {
            long silentNanos = System.nanoTime();
            call(service.url() + "/control/silence", SILENCE);

            int port = URI.create(service.url()).getPort();
            try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connection
                        .getOutputStream()
                        .write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                assertThat(connection.getInputStream().read()).isEqualTo('H');
            }
            assertThat(millisSince(silentNanos)).isGreaterThanOrEqualTo(SILENCE_MILLIS);
        }
    }

    @Test
    public void anEngineContinuesItsStreamAfterASilence() throws Exception {
        try (EngineStandin engine = new EngineStandin(0, ENGINE)) {
            long startNanos = System.nanoTime();
            HttpResponse<InputStream> stream = client.send(
                    request(engine.url() + "/v1/chat/completions", STREAM), HttpResponse.BodyHandlers.ofInputStream());
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(stream.body(), StandardCharsets.UTF_8))) {
                assertThat(lines.readLine()).startsWith("data: ");
                call(engine.url() + "/control/silence", SILENCE);
                assertThat(lastLine(lines)).isEqualTo("data: [DONE]");
            }
            assertThat(millisSince(startNanos))
                    .isGreaterThanOrEqualTo(SILENCE_MILLIS + (long) TOKENS * ENGINE.stepMillis());
            assertThat(engine.records()).singleElement().satisfies(record -> {
                assertThat(record.complete()).isTrue();
                assertThat(record.answerTokens()).isEqualTo(TOKENS);
            });
        }
    }

    private static String lastLine(BufferedReader lines) {
        return lines.lines().filter(line -> !line.isEmpty()).reduce("", (last, next) -> next);
    }

    private HttpResponse<String> call(String url, String body) throws IOException, InterruptedException {
        return client.send(request(url, body), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest request(String url, String body) {
        return HttpRequest.newBuilder(URI.create(url))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
