package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.streamring.fleet.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EndToEndTest {
    private Fleet fleet;

    @BeforeClass
    public void start() throws Exception {
        fleet = Fleet.small().start(2);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void aStreamedAnswerEndsWithItsOutcome() {
        HttpResponse<String> response = fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 12, true, "");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body().split("\"content\":\"word \"", -1)).hasSize(13);
        assertThat(response.body()).doesNotContain("\"usage\"").contains("data: [DONE]");
        assertThat(response.body().trim().lines().toList())
                .element(-2 + (int) response.body().trim().lines().count())
                .isEqualTo("event: streamring.outcome");
        assertThat(response.body()).contains("\"outcome\":\"answered\"");
    }

    @Test
    public void usageIsSentInAStreamIfTheCallerRequestedIt() {
        HttpResponse<String> response = fleet.send(fleet.request("entry-1", "/v1/chat/completions", Fleet.HOSPITAL_KEY)
                .POST(HttpRequest.BodyPublishers.ofString("""
                        {"model":"assist","messages":[{"role":"user","content":"hi"}],"max_tokens":3,"stream":true,\
                        "stream_options":{"include_usage":true},"unknown_field":{"a":1}}"""))
                .build());
        assertThat(response.body()).contains("\"completion_tokens\":3");
    }

    @Test
    public void anUnstreamedAnswerCarriesUsageAndOutcome() {
        HttpResponse<String> response = fleet.chat("entry-2", Fleet.CREWS_KEY, 7, false, "");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"completion_tokens\":7");
        assertThat(Fleet.outcome(response)).isEqualTo("answered");
        assertThat(response.headers().firstValue("Streamring-Request-Id")).isPresent();
    }

    @Test
    public void aPlainCallIsForwarded() {
        HttpResponse<String> response = fleet.plain("entry-1", "PUT", "/checkins/7", "");
        assertThat(response.body()).contains("\"method\":\"PUT\"").contains("/checkins/7");
    }

    @DataProvider
    public Object[][] badCalls() {
        String chat = "/v1/chat/completions";
        String validBody = Fleet.chatBody(5, false);
        String prompt = "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
        return new Object[][] {
            {chat, "nobody", validBody, 401, "unknown_key"},
            {chat, "quickstart-trial-user", Fleet.chatBody(400, false), 402, "budget_used_up"},
            {chat, Fleet.HOSPITAL_KEY, "{not json", 400, "bad_request"},
            {chat, Fleet.HOSPITAL_KEY, "[]", 400, "bad_request"},
            {chat, Fleet.HOSPITAL_KEY, "{\"model\":\"assist\"}", 400, "bad_request"},
            {chat, Fleet.HOSPITAL_KEY, "{\"model\":\"assist\"," + prompt + ",\"max_tokens\":-4}", 400, "bad_request"},
            {
                chat,
                Fleet.HOSPITAL_KEY,
                "{\"model\":\"assist\"," + prompt + ",\"max_tokens\":\"many\"}",
                400,
                "bad_request"
            },
            {chat, Fleet.HOSPITAL_KEY, "{\"model\":\"assist\"," + prompt + ",\"n\":1000}", 400, "bad_request"},
            {chat, Fleet.HOSPITAL_KEY, "{\"model\":\"other\"," + prompt + "}", 404, "unknown_service"},
            {"/nowhere", Fleet.HOSPITAL_KEY, validBody, 404, "unknown_service"},
            {"/services/nothing/x", Fleet.HOSPITAL_KEY, validBody, 404, "unknown_service"},
            {"/services/assist-llm/x", Fleet.HOSPITAL_KEY, validBody, 404, "unknown_service"},
            {chat, Fleet.HOSPITAL_KEY, "x".repeat(2 << 20), 413, "too_large"},
        };
    }

    @Test(dataProvider = "badCalls")
    public void aCallThatCantBeServedIsRefusedAtOnce(String path, String key, String body, int status, String code) {
        HttpResponse<String> response = fleet.send(fleet.request("entry-1", path, key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(Fleet.errorCode(response)).isEqualTo(code);
        assertThat(Fleet.outcome(response)).isEqualTo("not-run");
    }

    @Test
    public void hugeHeadersAreRefused() {
        HttpResponse<String> response = fleet.send(fleet.request("entry-1", "/v1/chat/completions", Fleet.HOSPITAL_KEY)
                .header("X-Huge", "x".repeat(40_000))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        assertThat(response.statusCode()).isEqualTo(431);
    }

    @Test
    public void aBadIdentifierIsRefused() {
        assertThat(fleet.plain("entry-1", "POST", "/setpoints/1", "has space").statusCode())
                .isEqualTo(400);
    }
}
