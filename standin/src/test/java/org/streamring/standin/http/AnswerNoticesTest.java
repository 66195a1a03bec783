package org.streamring.standin.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.engine.EngineStandin;
import org.streamring.standin.service.ServiceStandin;
import org.testng.annotations.Test;

public class AnswerNoticesTest {
    private static final String LIMIT = "{\"headers\":{\"limit\":\"1.5\"},\"turns_away\":false}";
    private static final String LEAVING_AND_LIMIT =
            "{\"headers\":{\"leaving\":\"1\",\"limit\":\"1.5\"},\"turns_away\":false}";
    private static final String NO_NOTICES = "{\"headers\":{},\"turns_away\":false}";
    private static final String BACK_OFF = "{\"headers\":{\"Retry-After\":\"3\"},\"turns_away\":true}";
    private static final String STREAM =
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    public void aServiceSendsTheNoticeHeadersWithEachAnswer() throws Exception {
        try (ServiceStandin service = new ServiceStandin(0, 1)) {
            call(service.url() + "/control/notices", LEAVING_AND_LIMIT);
            for (int i = 0; i < 2; i++) {
                HttpHeaders answer = call(service.url() + "/a", "").headers();
                assertThat(answer.firstValue("leaving")).hasValue("1");
                assertThat(answer.firstValue("limit")).hasValue("1.5");
            }
            call(service.url() + "/control/notices", NO_NOTICES);
            assertThat(call(service.url() + "/a", "").headers().firstValue("leaving"))
                    .isEmpty();
        }
    }

    @Test
    public void anEngineSendsTheNoticeHeadersWithAStream() throws Exception {
        try (EngineStandin engine = new EngineStandin(0, EngineSettings.fast())) {
            call(engine.url() + "/control/notices", LIMIT);
            HttpResponse<String> stream = call(engine.url() + "/v1/chat/completions", STREAM);
            assertThat(stream.headers().firstValue("Content-Type")).hasValue("text/event-stream");
            assertThat(stream.headers().firstValue("limit")).hasValue("1.5");
        }
    }

    @Test
    public void refusedRequestsAreNotRun() throws Exception {
        try (ServiceStandin service = new ServiceStandin(0, 1)) {
            call(service.url() + "/control/notices", BACK_OFF);
            HttpResponse<String> answer = call(service.url() + "/a", "");
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.headers().firstValue("Retry-After")).hasValue("3");
            assertThat(service.records()).isEmpty();
        }
    }

    private HttpResponse<String> call(String url, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
