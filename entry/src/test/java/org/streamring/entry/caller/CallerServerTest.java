package org.streamring.entry.caller;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.peer.PeerException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the answers to malformed and slow requests, which are sent as raw bytes. */
public class CallerServerTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_BODY = 1024;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final String HEAD = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private final List<Call> received = new CopyOnWriteArrayList<>();
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private CallerServer server;

    @BeforeClass
    public void listen() throws PeerException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = new CallerServer(loops, address, MAX_BODY, CALL_TIMEOUT, READ_TIMEOUT, (requestId, call, sink) -> {
            received.add(call);
            sink.refuse(Refusal.of(RefusalReason.NO_BACKEND, "test"));
            return () -> {};
        });
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @BeforeMethod
    public void clearReceivedCalls() {
        received.clear();
    }

    /** Sends bytes and returns everything that is received until the server closes the connection. */
    private String answerTo(String sent) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(sent.getBytes(US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), US_ASCII);
        }
    }

    @DataProvider
    public Object[][] badCalls() {
        return new Object[][] {
            {"bytes that are not HTTP", "\u0001\u0002 nonsense\r\n\r\n", 400},
            {"an unknown version", "GET / HTTP/x\r\n\r\n", 400},
            {"a chunk size that is no number", CHUNKED + "zz\r\nabc\r\n0\r\n\r\n", 400},
            {"a negative length", HEAD + "Content-Length: -5\r\n\r\n", 400},
            {"two lengths", HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
            {"a call inside another", HEAD + "X-A: fooPOST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\na", 400},
            {"two hosts", HEAD + "host: x\r\nContent-Length: 0\r\n\r\n", 400},
            {"two keys", HEAD + "Authorization: Bearer a\r\nauthorization: Bearer a\r\n\r\n", 400},
            {"two idempotency keys", HEAD + "Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n", 400},
            {"two deadlines", HEAD + "Streamring-Deadline-Ms: 9\r\nStreamring-Deadline-Ms: 9\r\n\r\n", 400},
            {"chunks above the limit", CHUNKED + "800\r\n" + "x".repeat(0x800) + "\r\n0\r\n\r\n", 413},
            {"a length above the limit", HEAD + "Content-Length: 999999\r\n\r\n", 413},
            {"an expectation that is not supported", HEAD + "Expect: x\r\nContent-Length: 0\r\n\r\n", 417},
            {"an endless request line", "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\n\r\n", 431},
            {"endless headers", HEAD + "X: " + "x".repeat(40_000) + "\r\n\r\n", 431},
            {"a body that is never completed", HEAD + "Content-Length: 50\r\n\r\nabc", 408},
            {"a chunk that is never completed", CHUNKED + "5\r\nab", 408},
            {"headers that do not end", HEAD, 408},
        };
    }

    @Test(dataProvider = "badCalls")
    public void aBadCallGetsAClearErrorAndIsNotRun(String name, String sent, int status) throws IOException {
        String answer = answerTo(sent);
        assertThat(answer).as(name).startsWith("HTTP/1.1 " + status + " ");
        assertThat(answer).as(name).containsIgnoringCase("streamring-outcome: not-run");
        assertThat(answer).as(name).contains("\"message\"");
        assertThat(received).as(name).isEmpty();
    }

    @Test
    public void aConnectionWithoutACallIsClosedWithoutAnAnswer() throws IOException {
        assertThat(answerTo("")).isEmpty();
    }

    @Test
    public void aValidCallIsReceivedOnce() throws IOException {
        String answer = answerTo(HEAD + "Connection: close\r\nContent-Length: 4\r\n\r\nabcd");
        assertThat(answer).startsWith("HTTP/1.1 503 ");
        assertThat(received).hasSize(1);
        assertThat(received.get(0).body().toStringUtf8()).isEqualTo("abcd");
    }

    @Test
    public void aKeptAliveConnectionThatStaysIdleIsNotAnsweredAgain() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout((int) (2 * CALL_TIMEOUT.toMillis()));
            socket.getOutputStream().write((HEAD + "Content-Length: 0\r\n\r\n").getBytes(US_ASCII));
            StringBuilder answer = new StringBuilder();
            try {
                for (int next = socket.getInputStream().read();
                        next >= 0;
                        next = socket.getInputStream().read()) {
                    answer.append((char) next);
                }
            } catch (java.net.SocketTimeoutException e) {
                answer.append("(still open)");
            }
            assertThat(answer.toString()).startsWith("HTTP/1.1 503 ").endsWith("(still open)");
            assertThat(answer.toString()).doesNotContain(" 408 ");
        }
    }

    @DataProvider
    public Object[][] callsThatGoOn() {
        return new Object[][] {
            {"a length above the limit", HEAD + "Content-Length: 999999\r\n\r\n", 413},
            {"a request line that is not HTTP", "GET / HTTP/x\r\n\r\n", 400},
        };
    }

    @Test(dataProvider = "callsThatGoOn")
    public void aCallerThatSendsOnAfterItsRefusalIsNotReset(String name, String sent, int status) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(sent.getBytes(US_ASCII));
            for (int i = 0; i < 5; i++) {
                Thread.sleep(50);
                socket.getOutputStream().write("the rest".getBytes(US_ASCII));
            }
            String answer = new String(socket.getInputStream().readAllBytes(), US_ASCII);
            assertThat(answer).as(name).startsWith("HTTP/1.1 " + status + " ");
        }
    }

    @Test
    public void aConnectionIsClosedSomeTimeAfterARefusalThatEndsIt() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write("GET / HTTP/x\r\n\r\n".getBytes(US_ASCII));
            Awaitility.await().atMost(Duration.ofSeconds(5)).untilAsserted(() -> assertThatThrownBy(
                            () -> socket.getOutputStream().write('x'))
                    .isInstanceOf(IOException.class));
        }
    }
}
