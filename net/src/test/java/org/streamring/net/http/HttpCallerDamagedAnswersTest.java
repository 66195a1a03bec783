package org.streamring.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against responses that are not whole, are made of two, or belong to another call. */
public class HttpCallerDamagedAnswersTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    /** Gives written bytes time to arrive. */
    private static final long ARRIVAL_MILLIS = 30;

    private static final String END = "\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 200 OK\r\nStore-Era: 7\r\nContent-Length: 9" + END + "{\"ver\":9}";

    private NioEventLoopGroup loops;
    private EventLoop loop;

    @BeforeMethod
    public void setUp() {
        loops = new NioEventLoopGroup(1);
        loop = loops.next();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"HTTP/1.1 503 Service Unavailable\r\nStore-Era: 3\r\nContent-Type: application/json\r\nContent-Length: 2"},
            {"HTTP/1.1 412 Precondition Failed\r\ncontent-length: 2\r\nstore-era: 3\r\nServer: a b"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nFolded: a\r\n b\r\nStore-Era: 3"},
            {"HTTP/1.0 429 Too Many Requests\r\nRetry-After: 1\r\nStore-Era: 3\r\nEmpty:"},
        };
    }

    @Test(dataProvider = "heads")
    public void aHeadThatBreaksOffAtAnyByteIsNotCompletedByTheNextResponse(String first) throws Exception {
        String head = first + END;
        for (int cut = 1; cut < head.length(); cut++) {
            String merged = head.substring(0, cut) + SECOND;
            assertThat(outcome(connection -> connection.write(merged)))
                    .as("broken off behind <%s>", head.substring(Math.max(0, cut - 20), cut))
                    .startsWith("maybe sent");
        }
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 9" + END + "{\"ver\":9}"},
            {
                "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nTransfer-Encoding: chunked" + END + "5\r\n{\"ver\r\n4\r\n\":9}\r\n0"
                        + END
            },
        };
    }

    @Test(dataProvider = "answers")
    public void aResponseThatEndsAtAnyByteByACloseIsNotWhole(String answer) throws Exception {
        for (int cut = 0; cut < answer.length(); cut++) {
            String part = answer.substring(0, cut);
            assertThat(outcome(connection -> {
                        connection.write(part);
                        connection.shutDown();
                    }))
                    .as("ends with <%s>", part)
                    .startsWith("maybe sent");
        }
    }

    @Test(dataProvider = "answers")
    public void aResponseThatEndsAtAnyByteByAResetIsNotWhole(String answer) throws Exception {
        for (int cut = 0; cut < answer.length(); cut++) {
            String part = answer.substring(0, cut);
            assertThat(outcome(connection -> {
                        connection.write(part);
                        connection.reset();
                    }))
                    .as("ends with <%s>", part)
                    .startsWith("maybe sent");
        }
    }

    @Test
    public void aResponseWithoutALengthThatEndsByAResetIsNotWhole() throws Exception {
        assertThat(outcome(connection -> {
                    connection.write("HTTP/1.1 200 OK\r\nStore-Era: 3" + END + "{\"ver\":9}");
                    Thread.sleep(ARRIVAL_MILLIS);
                    connection.reset();
                }))
                .startsWith("maybe sent");
    }

    @DataProvider
    public Object[][] strayBytes() {
        return new Object[][] {{SECOND}, {"HTTP/1.1 500 Fai"}, {"x"}, {"\r\n"}};
    }

    @Test(dataProvider = "strayBytes")
    public void bytesThatArriveWithTheEndOfAResponseAreNotReadForTheNextCall(String stray) throws Exception {
        try (ScriptedServer server = answersWithNumbers((connection, answer) -> connection.write(answer + stray))) {
            HttpCaller caller = caller(server);
            assertThat(call(caller)).isEqualTo("200 1");
            assertThat(call(caller)).isEqualTo("200 2");
        }
    }

    @Test(dataProvider = "strayBytes")
    public void bytesThatArriveOnAnIdleConnectionAreNotReadForTheNextCall(String stray) throws Exception {
        try (ScriptedServer server = answersWithNumbers((connection, answer) -> {
            connection.write(answer);
            Thread.sleep(ARRIVAL_MILLIS);
            connection.write(stray);
        })) {
            HttpCaller caller = caller(server);
            assertThat(call(caller)).isEqualTo("200 1");
            Thread.sleep(3 * ARRIVAL_MILLIS);
            assertThat(call(caller)).isEqualTo("200 2");
        }
    }

    @Test(dataProvider = "strayBytes")
    public void bytesThatArrivedBeforeACallAreNotReadForItEvenIfTheEventLoopWasBusy(String stray) throws Exception {
        CountDownLatch loopIsBusy = new CountDownLatch(1);
        CountDownLatch strayWritten = new CountDownLatch(1);
        try (ScriptedServer server = answersWithNumbers((connection, answer) -> {
            connection.write(answer);
            loopIsBusy.await();
            connection.write(stray);
            strayWritten.countDown();
        })) {
            HttpCaller caller = caller(server);
            assertThat(call(caller)).isEqualTo("200 1");
            CompletableFuture<HttpReply> next = CompletableFuture.supplyAsync(
                            () -> {
                                loopIsBusy.countDown();
                                awaitArrival(strayWritten);
                                return caller.call(HttpMethod.GET, "/", new byte[0], TIMEOUT_MILLIS);
                            },
                            loop)
                    .thenCompose(reply -> reply);
            assertThat(text(next.get(20, TimeUnit.SECONDS))).isEqualTo("200 2");
        }
    }

    private static void awaitArrival(CountDownLatch written) {
        try {
            written.await();
            Thread.sleep(ARRIVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void aConnectionWithoutStrayBytesIsUsedAgain() throws Exception {
        try (ScriptedServer server = new ScriptedServer(connection -> {
            while (connection.readRequest()) {
                connection.write(SECOND);
            }
        })) {
            HttpCaller caller = caller(server);
            for (int i = 0; i < 3; i++) {
                assertThat(call(caller)).isEqualTo("200 {\"ver\":9}");
            }
            CompletableFuture<HttpReply> chained = CompletableFuture.supplyAsync(() -> send(caller), loop)
                    .thenCompose(reply -> reply)
                    .thenCompose(reply -> send(caller));
            assertThat(text(chained.get(20, TimeUnit.SECONDS))).isEqualTo("200 {\"ver\":9}");
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    private interface Answering {
        void answer(ScriptedServer.Connection connection, String answer) throws IOException, InterruptedException;
    }

    /** A server that answers the first request of each connection with the number of the connection. */
    private static ScriptedServer answersWithNumbers(Answering answering) throws IOException {
        return new ScriptedServer(connection -> {
            connection.readRequest();
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: 1" + END + connection.number();
            if (connection.number() == 1) {
                answering.answer(connection, answer);
            } else {
                connection.write(answer);
            }
            connection.readRequest();
        });
    }

    /** Returns what a call comes to on a connection whose server plays the script in answer to it. */
    private String outcome(ScriptedServer.Script answer) throws Exception {
        try (ScriptedServer server = new ScriptedServer(connection -> {
            connection.readRequest();
            answer.play(connection);
            connection.readRequest();
        })) {
            return call(caller(server));
        }
    }

    private HttpCaller caller(ScriptedServer server) {
        return new HttpCaller(loop, server.address(), List.of("Store-Era"));
    }

    private static CompletableFuture<HttpReply> send(HttpCaller caller) {
        return caller.call(HttpMethod.GET, "/", new byte[0], TIMEOUT_MILLIS);
    }

    private String call(HttpCaller caller) throws Exception {
        return CompletableFuture.supplyAsync(() -> send(caller), loop)
                .thenCompose(reply -> reply)
                .handle((reply, failure) -> failure == null ? text(reply) : failureText(failure))
                .get(20, TimeUnit.SECONDS);
    }

    private static String text(HttpReply reply) {
        return reply.status() + " " + new String(reply.body(), StandardCharsets.US_ASCII);
    }

    private static String failureText(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        boolean maybeSent = cause instanceof HttpCallException call && call.maybeSent();
        return (maybeSent ? "maybe sent: " : "not sent: ") + cause.getMessage();
    }
}
