package org.streamring.entry.caller;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.generated.Wire.Header;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls that arrive while an earlier one on their connection is answered. */
public class PipelinedCallsTest {
    private static final int MAX_BODY = 1024;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private static final int LARGE_ANSWER = 16_000_000;
    private static final String HEAD = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
    private static final String LAST_CALL_HEAD = HEAD + "Connection: close\r\nContent-Length: 4\r\n";
    private static final String LAST_CALL = LAST_CALL_HEAD + "\r\nnext";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String CALL = HEAD + "Content-Length: 4\r\n\r\nbody";

    private final List<Call> received = new CopyOnWriteArrayList<>();
    private final List<AnswerSink> sinks = new CopyOnWriteArrayList<>();
    private NioEventLoopGroup loops;
    private CallerServer server;
    private Socket caller;

    @BeforeMethod
    public void connect() throws Exception {
        received.clear();
        sinks.clear();
        loops = new NioEventLoopGroup(1);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = new CallerServer(loops, address, MAX_BODY, CALL_TIMEOUT, READ_TIMEOUT, (requestId, call, sink) -> {
            received.add(call);
            sinks.add(sink);
            return () -> {};
        });
        caller = new Socket(InetAddress.getLoopbackAddress(), server.port());
        caller.setSoTimeout(5_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        caller.close();
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    public void aCallThatArrivesWithAnotherOneIsAnsweredAfterIt() throws Exception {
        send(CALL + LAST_CALL);
        answer(0, "first");
        answer(1, "second");
        assertThat(readAll()).containsSubsequence("HTTP/1.1 200", "first", "HTTP/1.1 200", "second");
        assertThat(received).extracting(call -> call.body().toStringUtf8()).containsExactly("body", "next");
    }

    @Test
    public void aCallThatArrivesDuringAnAnswerDoesNotCutIt() throws Exception {
        send(CALL);
        beginStream();
        send(LAST_CALL);
        Thread.sleep(100);
        endStream();
        answer(1, "second");
        assertThat(readAll()).containsSubsequence("data: 1", "data: 2", "streamring.outcome", "HTTP/1.1 200", "second");
    }

    @Test
    public void theRefusalOfACallThatArrivesTooSlowlyFollowsTheAnswerBeforeIt() throws Exception {
        send(CALL);
        beginStream();
        send(HEAD);
        Thread.sleep(2 * CALL_TIMEOUT.toMillis());
        endStream();
        assertThat(readAll()).containsSubsequence("data: 1", "data: 2", "streamring.outcome", "HTTP/1.1 408");
    }

    @Test
    public void aCallWhoseBeginArrivesWithTheEndOfTheOneBeforeHasATimeLimit() throws Exception {
        send(CALL + HEAD);
        answer(0, "first");
        assertThat(readAll()).containsSubsequence("HTTP/1.1 200", "first", "HTTP/1.1 408");
    }

    @Test
    public void theRefusalOfACallThatIsTooLargeFollowsTheAnswerBeforeIt() throws Exception {
        send(CALL);
        beginStream();
        send(HEAD + "Content-Length: 5000\r\n\r\n");
        Thread.sleep(100);
        endStream();
        assertThat(readAll()).containsSubsequence("data: 1", "data: 2", "streamring.outcome", "HTTP/1.1 413");
    }

    @Test
    public void theInterimAnswerFollowsTheAnswerBeforeIt() throws Exception {
        send(CALL);
        beginStream();
        send(LAST_CALL_HEAD + "Expect: 100-continue\r\n\r\n");
        Thread.sleep(100);
        endStream();
        assertThat(readUntil(CONTINUE)).containsSubsequence("data: 1", "data: 2", "streamring.outcome", CONTINUE);
        send("next");
        answer(1, "second");
        assertThat(readAll()).startsWith("HTTP/1.1 200").endsWith("second");
    }

    @Test
    public void theRefusalOfAnExpectationFollowsTheAnswerBeforeIt() throws Exception {
        send(CALL);
        beginStream();
        send(LAST_CALL_HEAD + "Expect: a-miracle\r\n\r\nnext");
        Thread.sleep(100);
        endStream();
        assertThat(readAll()).containsSubsequence("data: 1", "data: 2", "streamring.outcome", "HTTP/1.1 417");
        assertThat(received).hasSize(1);
    }

    @Test
    public void aCallThatArrivesWholeAfterItsRefusalIsNotRun() throws Exception {
        send(CALL);
        answer(0, "x".repeat(LARGE_ANSWER));
        send(HEAD + "Content-Length: 4\r\n\r\n");
        Thread.sleep(2 * CALL_TIMEOUT.toMillis());
        send("late");
        assertThat(readAll()).contains("HTTP/1.1 408");
        assertThat(received).hasSize(1);
    }

    @Test
    public void aCallOfWhichAPartHasArrivedIsAnsweredAtAStop() throws Exception {
        send(HEAD);
        Thread.sleep(100);
        server.close();
        server.refuseArrivingCalls(Refusal.of(RefusalReason.ENTRY_STOPPING, "stopping"));
        assertThat(server.unwrittenAnswers()).isEqualTo(1);
        assertThat(readAll()).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
    }

    /** The event loop was held up, and the stop passed over a call whose first bytes were not read yet. */
    @Test
    public void aCallOfWhichAPartHasArrivedButIsNotReadIsAnsweredAtAStop() throws Exception {
        send(CALL);
        answer(0, "first");
        readUntil("first");
        CountDownLatch continued = holdUpLoop();
        send(HEAD);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(
                () -> server.refuseArrivingCalls(Refusal.of(RefusalReason.ENTRY_STOPPING, "stopping")));
        Awaitility.await().until(() -> loop().pendingTasks() > 0);
        continued.countDown();
        stop.get(5, TimeUnit.SECONDS);
        assertThat(server.unwrittenAnswers()).isEqualTo(1);
        assertThat(readAll()).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
    }

    /** Keeps the event loop from reading until the latch that is returned is counted down. */
    private CountDownLatch holdUpLoop() throws InterruptedException {
        CountDownLatch heldUp = new CountDownLatch(1);
        CountDownLatch continued = new CountDownLatch(1);
        loop().submit(() -> {
            heldUp.countDown();
            return continued.await(5, TimeUnit.SECONDS);
        });
        heldUp.await();
        return continued;
    }

    private SingleThreadEventLoop loop() {
        return (SingleThreadEventLoop) loops.next();
    }

    @Test
    public void aStopDoesNotRefuseACallBehindAnAnswerInProgress() throws Exception {
        send(CALL);
        beginStream();
        send(HEAD);
        Thread.sleep(100);
        server.refuseArrivingCalls(Refusal.of(RefusalReason.ENTRY_STOPPING, "stopping"));
        endStream();
        assertThat(readAll()).containsSubsequence("data: 1", "data: 2", "streamring.outcome", "HTTP/1.1 408");
    }

    @Test
    public void theAnswerToACallThatArrivesAfterTheStopAnnouncesTheEndOfItsConnection() throws Exception {
        answerACallAndStop();
        send(CALL);
        answer(1, "second");
        assertThat(readAll()).containsIgnoringCase("connection: close").endsWith("second");
    }

    @Test
    public void afterTheStopOnlyTheLastOfSeveralAnswersAnnouncesTheEndOfItsConnection() throws Exception {
        answerACallAndStop();
        send(CALL + CALL);
        answer(1, "second");
        answer(2, "third");
        assertThat(readAll().toLowerCase(Locale.ROOT))
                .containsSubsequence("second", "http/1.1 200", "connection: close", "third")
                .containsOnlyOnce("connection: close");
    }

    private void answerACallAndStop() throws Exception {
        send(CALL);
        answer(0, "first");
        assertThat(readUntil("first")).doesNotContainIgnoringCase("connection: close");
        server.close();
    }

    @Test
    public void aCallerThatReadsNothingDoesNotHoldUpAStop() throws Exception {
        send(CALL);
        answer(0, "x".repeat(LARGE_ANSWER));
        assertThat(server.unwrittenAnswers()).isEqualTo(1);
        Awaitility.await().atMost(READ_TIMEOUT.multipliedBy(2)).until(() -> server.unwrittenAnswers() == 0);
    }

    @Test
    public void anAnswerOfWhichAPartIsReadInTimeIsNotCut() throws Exception {
        send(LAST_CALL);
        answer(0, "x".repeat(LARGE_ANSWER));
        int read = 0;
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < READ_TIMEOUT.multipliedBy(2).toNanos()) {
            Thread.sleep(READ_TIMEOUT.toMillis() / 8);
            read += caller.getInputStream().readNBytes(LARGE_ANSWER / 32).length;
        }
        assertThat(read + readAll().length()).isGreaterThan(LARGE_ANSWER);
    }

    private void beginStream() {
        Awaitility.await().until(() -> sinks.size() == 1);
        Header type = Header.newBuilder()
                .setName("Content-Type")
                .setValue("text/event-stream")
                .build();
        sinks.get(0).begin(200, List.of(type));
        sinks.get(0).chunk(ByteString.copyFromUtf8("data: 1\n\n"));
    }

    private void endStream() {
        sinks.get(0).chunk(ByteString.copyFromUtf8("data: 2\n\n"));
        sinks.get(0).complete();
    }

    private void answer(int index, String body) {
        Awaitility.await().until(() -> sinks.size() > index);
        sinks.get(index).begin(200, List.of());
        sinks.get(index).chunk(ByteString.copyFromUtf8(body));
        sinks.get(index).complete();
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(US_ASCII));
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

    private String readAll() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), US_ASCII);
    }
}
