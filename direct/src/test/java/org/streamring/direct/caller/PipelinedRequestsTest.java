package org.streamring.direct.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.awaitility.Awaitility;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests that arrive behind another one on their connection. */
public class PipelinedRequestsTest extends CallerServerTestBase {
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final int TOO_LARGE = 200_000;

    @Test
    public void aCallerThatWaitsForTheInterimAnswerIsToldToSendItsBody() throws Exception {
        send(expecting("100-continue", 4));
        assertThat(readUntil(CONTINUE)).isEqualTo(CONTINUE);
        send("body");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aCallerThatSendsItsBodyAtOnceGetsNoInterimAnswer() throws Exception {
        send(expecting("100-continue", 4) + "body");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void theInterimAnswerFollowsTheAnswersBeforeIt() throws Exception {
        answerAtOnce = false;
        send(request(4) + "body" + expecting("100-continue", 4));
        beginStream();
        endStream();
        assertThat(readUntil(CONTINUE)).containsSubsequence("HTTP/1.1 200", "first", "last", CONTINUE);
        answerTheNext();
    }

    @Test
    public void theInterimAnswerDoesNotCutTheAnswerInProgress() throws Exception {
        answerAtOnce = false;
        send(request(4) + "body");
        beginStream();
        send(expecting("100-continue", 4));
        Thread.sleep(100);
        endStream();
        assertThat(readUntil(CONTINUE)).containsSubsequence("HTTP/1.1 200", "first", "last", CONTINUE);
        answerTheNext();
    }

    private void answerTheNext() throws Exception {
        send("next");
        Awaitility.await().until(() -> waiting.size() == 2);
        answer(1);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        assertThat(served)
                .extracting(each -> new String(each.body(), StandardCharsets.UTF_8))
                .containsExactly("body", "next");
    }

    @DataProvider
    public Object[][] refusedExpectations() {
        return new Object[][] {
            {expecting("100-continue", TOO_LARGE), "HTTP/1.1 413"},
            {expecting("a-miracle", 4), "HTTP/1.1 417"},
        };
    }

    @Test(dataProvider = "refusedExpectations")
    public void theRefusalOfAnExpectationFollowsTheAnswersBeforeIt(String refused, String status) throws Exception {
        answerAtOnce = false;
        send(request(4) + "body");
        beginStream();
        send(refused);
        Thread.sleep(100);
        endStream();
        assertThat(readToEnd()).containsSubsequence("HTTP/1.1 200", "first", "last", status);
        assertThat(served).hasSize(1);
    }

    @DataProvider
    public Object[][] refusedRequests() {
        return new Object[][] {
            {request(TOO_LARGE) + "x".repeat(TOO_LARGE), "HTTP/1.1 413"},
            {request(4).replace("Host:", "Transfer-Encoding: gzip\r\nHost:") + "body", "HTTP/1.1 400"},
        };
    }

    @Test(dataProvider = "refusedRequests")
    public void aStopDoesNotWaitForARequestBehindARefusalThatEndsTheConnection(String refused, String status)
            throws Exception {
        answerAtOnce = false;
        send(request(4) + "body" + refused + request(4) + "next");
        Awaitility.await().until(() -> waiting.size() == 1);
        Thread.sleep(200);
        stopping = true;
        answer(0);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        assertThat(readAnswer()).startsWith(status).containsIgnoringCase("connection: close");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        assertThat(askLoop(server::connectionsWithRequest)).isZero();
        caller.close();
        Awaitility.await().until(() -> !incomplete.isEmpty());
        assertThat(incomplete).extracting(IncompleteAnswer::reason).containsExactly(ConnectionEnd.LAST_ANSWER);
    }

    @DataProvider
    public Object[][] begunBytes() {
        return new Object[][] {{1}, {20}, {request(4).length()}, {request(4).length() + 2}};
    }

    @Test(dataProvider = "begunBytes")
    public void aRequestWhoseBeginArrivedWithTheEndOfTheOneBeforeIsServedWhenTheEntryStops(int begunBytes)
            throws Exception {
        String next = request(4) + "next";
        send(request(4) + "body" + next.substring(0, begunBytes));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        stopping = true;
        onLoop(server::closeConnectionsWithoutRequest);
        assertThat(askLoop(server::connectionsWithRequest)).isEqualTo(1L);
        send(next.substring(begunBytes));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
    }

    @Test
    public void aRequestWhoseBeginArrivedWithTheEndOfTheOneBeforeIsRefusedIfItStopsArriving() throws Exception {
        send(request(4) + "body" + request(4).substring(0, 20));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        Thread.sleep(IDLE_TIMEOUT.toMillis() + 150);
        onLoop(server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 408");
    }

    @Test
    public void aStopDoesNotWaitForALineEndThatArrivedWithARequest() throws Exception {
        send(request(4) + "body\r\n");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        onLoop(server::closeConnectionsWithoutRequest);
        assertThat(askLoop(server::connectionsWithRequest)).isZero();
    }

    @Test
    public void theAnswerToAHeadRequestHasNoBody() throws Exception {
        send("HEAD /a HTTP/1.1\r\nHost: h.example\r\n\r\n" + request(4) + "body");
        assertThat(readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200").containsIgnoringCase("content-length: 2");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    private static String expecting(String expectation, int bodyBytes) {
        return request(bodyBytes).replace("Host:", "Expect: " + expectation + "\r\nHost:");
    }

    private void beginStream() throws Exception {
        Awaitility.await().until(() -> waiting.size() == 1);
        onLoop(() -> {
            waiting.get(0).writeHead(200, EmptyHttpHeaders.INSTANCE);
            waiting.get(0).writeData("first".getBytes(StandardCharsets.UTF_8));
        });
    }

    private void endStream() throws Exception {
        onLoop(() -> {
            waiting.get(0).writeData("last".getBytes(StandardCharsets.UTF_8));
            waiting.get(0).end();
        });
    }

    private String readUntil(String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(end) < 0) {
            int next = caller.getInputStream().read();
            assertThat(next).as("read after %s", read).isNotNegative();
            read.append((char) next);
        }
        return read.toString();
    }

    private String readToEnd() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
