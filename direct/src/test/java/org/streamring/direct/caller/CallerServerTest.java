package org.streamring.direct.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.Test;

/** Tests which connections of callers are closed, and which requests are answered before. */
public class CallerServerTest extends CallerServerTestBase {
    private static final long LONGER_THAN_IDLE_MILLIS = 450;

    @Test
    public void anIdleConnectionIsClosed() throws Exception {
        callOnce();
        Thread.sleep(LONGER_THAN_IDLE_MILLIS);
        onLoop(server::closeOverdue);
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        assertThat(incomplete).isEmpty();
    }

    @Test
    public void aRequestThatLiesUnreadIsServedBeforeAnIdleConnectionIsClosed() throws Exception {
        callOnce();
        Thread.sleep(LONGER_THAN_IDLE_MILLIS);
        whileTheLoopIsBusy(() -> send(request(4) + "body"), server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aRequestThatLiesUnreadIsServedWhenTheEntryStops() throws Exception {
        callOnce();
        whileTheLoopIsBusy(() -> send(request(4) + "body"), () -> {
            stopping = true;
            server.closeConnectionsWithoutRequest();
        });
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
    }

    @Test
    public void aBodyMayTakeLongerThanTheIdleTimeout() throws Exception {
        send(request(40));
        for (int i = 0; i < 4; i++) {
            Thread.sleep(IDLE_TIMEOUT.toMillis() / 2);
            onLoop(server::closeOverdue);
            send("0123456789");
        }
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aRequestOfWhichAPartHasArrivedIsServedWhenTheEntryStops() throws Exception {
        for (String part : List.of(request(4) + "bo", request(4).substring(0, 20))) {
            answerOfPartAfterStop(part);
        }
    }

    private void answerOfPartAfterStop(String part) throws Exception {
        startServer();
        send(part);
        Thread.sleep(100);
        stopping = true;
        onLoop(server::closeConnectionsWithoutRequest);
        assertThat(askLoop(server::connectionsWithRequest)).isEqualTo(1L);
        send((request(4) + "body").substring(part.length()));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        stopServer();
    }

    @Test
    public void aRequestThatStopsArrivingIsRefusedAsNotRun() throws Exception {
        send(request(4) + "bo");
        Thread.sleep(LONGER_THAN_IDLE_MILLIS);
        onLoop(server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 408");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        assertThat(served).isEmpty();
    }

    @Test
    public void aRequestThatIsArrivingAtTheEndOfAStopIsRefusedAsNotRun() throws Exception {
        send(request(4) + "bo");
        Thread.sleep(100);
        stopping = true;
        onLoop(server::refuseArrivingRequests);
        assertThat(readAnswer()).startsWith("HTTP/1.1 408");
    }

    @Test
    public void aHeadThatArrivesTooSlowlyIsRefusedAsNotRun() throws Exception {
        headerTimeout = Duration.ofMillis(200);
        for (String part : List.of("POST /a HTTP/1.1\r\n", "Host: h.example\r\n", "X-Request-Id: r\r\n")) {
            send(part);
            Thread.sleep(100);
        }
        onLoop(server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 408");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        assertThat(served).isEmpty();
    }

    @Test
    public void aHeadWhoseRestLiesUnreadIsNotTooSlow() throws Exception {
        headerTimeout = Duration.ofMillis(200);
        send(request(4).substring(0, 20));
        Thread.sleep(300);
        whileTheLoopIsBusy(() -> send(request(4).substring(20) + "body"), server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aHeadBehindARequestInProgressHasItsTimeFromTheAnswerOn() throws Exception {
        headerTimeout = Duration.ofMillis(200);
        answerAtOnce = false;
        send(request(4) + "body");
        Awaitility.await().until(() -> waiting.size() == 1);
        send(request(4).substring(0, 20));
        Thread.sleep(300);
        onLoop(server::closeOverdue);
        answer(0);
        onLoop(server::closeOverdue);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        answerAtOnce = true;
        send(request(4).substring(20) + "body");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aStrayLineEndIsNotRefusedAsARequest() throws Exception {
        callOnce();
        send("\r\n");
        Thread.sleep(LONGER_THAN_IDLE_MILLIS);
        onLoop(server::closeOverdue);
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }

    @Test
    public void aStopDoesNotWaitForAStrayLineEnd() throws Exception {
        callOnce();
        send("\r\n");
        Thread.sleep(100);
        onLoop(server::closeConnectionsWithoutRequest);
        assertThat(askLoop(server::connectionsWithRequest)).isZero();
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }

    @Test
    public void aRequestBehindAStrayLineEndIsServedWhenTheEntryStops() throws Exception {
        send("\r\n");
        Thread.sleep(100);
        send(request(4));
        Thread.sleep(100);
        stopping = true;
        onLoop(server::closeConnectionsWithoutRequest);
        send("body");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    @Test
    public void aRequestWhoseRestLiesUnreadAtTheEndOfAStopIsServed() throws Exception {
        send(request(4) + "bo");
        Thread.sleep(100);
        stopping = true;
        whileTheLoopIsBusy(() -> send("dy"), server::refuseArrivingRequests);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
    }

    @Test
    public void aCallerThatSendsOnAfterTheRefusalOfItsRequestIsNotReset() throws Exception {
        send(request(4_000) + "bo");
        Thread.sleep(100);
        stopping = true;
        onLoop(server::refuseArrivingRequests);
        sendOnAndReadAnswer("HTTP/1.1 408");
        assertThat(askLoop(server::connectionsWithRequest)).isZero();
    }

    @Test
    public void aCallerThatSendsOnAfterTheRefusalOfAMalformedRequestIsNotReset() throws Exception {
        send("POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n");
        sendOnAndReadAnswer("HTTP/1.1 400");
    }

    @Test
    public void aCallerThatSendsOnAfterTheLastAnswerIsNotReset() throws Exception {
        stopping = true;
        send(request(4) + "body");
        sendOnAndReadAnswer("HTTP/1.1 200");
    }

    private void sendOnAndReadAnswer(String expected) throws Exception {
        for (int i = 0; i < 5; i++) {
            Thread.sleep(50);
            send("body of the request");
        }
        assertThat(readAnswer()).startsWith(expected);
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }

    @Test
    public void aConnectionIsClosedSomeTimeAfterItsLastAnswer() throws Exception {
        stopping = true;
        callOnce();
        Awaitility.await().atMost(Duration.ofSeconds(5)).untilAsserted(() -> assertThatThrownBy(() -> send("more"))
                .isInstanceOf(IOException.class));
    }

    @Test
    public void anAnswerThatIsReadSlowlyIsNotCut() throws Exception {
        answerBytes = LARGE_BODY_BYTES;
        send(request(4) + "body");
        Awaitility.await().until(() -> served.size() == 1);
        InputStream in = caller.getInputStream();
        long read = 0;
        for (int i = 0; i < 6; i++) {
            Thread.sleep(IDLE_TIMEOUT.toMillis() / 2);
            onLoop(server::closeOverdue);
            read += in.readNBytes(1_000_000).length;
        }
        stopping = true;
        onLoop(server::closeConnectionsWithoutRequest);
        assertThat(askLoop(server::connectionsWithRequest)).isEqualTo(1L);
        while (read < LARGE_BODY_BYTES) {
            int next = in.readNBytes(100_000).length;
            assertThat(next).as("read after %d bytes", read).isPositive();
            read += next;
        }
        assertThat(incomplete).isEmpty();
    }

    @Test
    public void aConnectionWhoseCallerReadsNothingIsClosedAsIdle() throws Exception {
        answerBytes = LARGE_BODY_BYTES;
        send(request(4) + "body");
        Awaitility.await().until(() -> served.size() == 1);
        Awaitility.await().atMost(Duration.ofSeconds(5)).untilAsserted(() -> {
            onLoop(server::closeOverdue);
            assertThat(incomplete).extracting(IncompleteAnswer::reason).containsExactly(ConnectionEnd.IDLE);
        });
    }

    @Test
    public void pipelinedRequestsAreAnsweredWhenTheEntryStops() throws Exception {
        answerAtOnce = false;
        send(request(4) + "body" + request(4) + "next");
        Awaitility.await().until(() -> waiting.size() == 1);
        stopping = true;
        answer(0);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").doesNotContainIgnoringCase("connection: close");
        Awaitility.await().until(() -> waiting.size() == 2);
        answer(1);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }

    @Test
    public void anEarlierAnswerIsNotCutWhenTheNextOneIsAborted() throws Exception {
        answerAtOnce = false;
        send(request(4) + "body" + request(4) + "next");
        Awaitility.await().until(() -> waiting.size() == 1);
        onLoop(() -> waiting.get(0).writeFull(200, EmptyHttpHeaders.INSTANCE, new byte[LARGE_BODY_BYTES]));
        Awaitility.await().until(() -> waiting.size() == 2);
        onLoop(() -> waiting.get(1).abort("test"));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
        assertThat(incomplete).extracting(IncompleteAnswer::reason).containsExactly(ConnectionEnd.ABORTED);
    }

    @Test
    public void aLargerLimitOnBodiesAppliesToOpenConnections() throws Exception {
        maxBodyBytes = 10;
        callOnce();
        maxBodyBytes = 100;
        send(request(50) + "0123456789".repeat(5));
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        maxBodyBytes = 10;
        send(request(50) + "0123456789".repeat(5));
        assertThat(readAnswer()).startsWith("HTTP/1.1 413");
    }

    @Test
    public void theRefusalOfABodyThatIsTooLargeFollowsTheAnswersBeforeIt() throws Exception {
        answerAtOnce = false;
        send(request(4) + "body" + request(200_000));
        Awaitility.await().until(() -> waiting.size() == 1);
        Thread.sleep(100);
        answer(0);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        sendOnAndReadAnswer("HTTP/1.1 413");
        assertThat(incomplete).isEmpty();
    }

    @Test
    public void aShorterIdleTimeoutAppliesFromTheNextAnswerOn() throws Exception {
        callOnce();
        idleTimeout = Duration.ofMillis(50);
        Thread.sleep(IDLE_TIMEOUT.toMillis() / 2);
        onLoop(server::closeOverdue);
        callOnce();
        Thread.sleep(100);
        onLoop(server::closeOverdue);
        assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
}
