package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a late second answer to a request that is taken for the answer to the same identifier, sent again on
 * the connection.
 */
public class RepeatedIdentifierTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 2_000;

    private NioEventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private BackendPool pool;

    /** A way to begin an attempt. */
    private interface Sending {
        void begin(BackendPool pool, BackendRequest request, AttemptListener listener);
    }

    @BeforeMethod
    public void setUp() throws IOException {
        loops = new NioEventLoopGroup(1);
        loop = loops.next();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        pool = new BackendPool(
                loop,
                (InetSocketAddress) server.getLocalSocketAddress(),
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> {},
                new NoDefects());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] sendings() {
        Sending plain = (to, request, listener) -> to.begin(request, () -> true, listener);
        Sending replacing = (to, request, listener) -> to.beginReplacing(request, () -> true, listener);
        return new Object[][] {{plain}, {replacing}};
    }

    @Test(dataProvider = "sendings")
    public void anIdentifierIsNotSentTwiceOnAConnection(Sending sending) throws Exception {
        CompletableFuture<Integer> first = send(sending, "r-1");
        try (Socket connection = server.accept()) {
            answer(connection, "r-1");
            assertThat(first.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            CompletableFuture<Integer> between = send(sending, "r-2");
            answer(connection, "r-2");
            assertThat(between.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            CompletableFuture<Integer> again = send(sending, "r-1");
            try (Socket other = server.accept()) {
                answer(other, "r-1");
                assertThat(again.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            }
        }
    }

    @Test(dataProvider = "sendings")
    public void anotherIdleConnectionIsUsedForAnIdentifierThatWasSentOnTheNewestOne(Sending sending) throws Exception {
        CompletableFuture<Integer> older = send(sending, "r-1");
        try (Socket olderConnection = server.accept()) {
            CompletableFuture<Integer> newer = send(sending, "r-2");
            try (Socket newerConnection = server.accept()) {
                answer(olderConnection, "r-1");
                assertThat(older.get(5, TimeUnit.SECONDS)).isEqualTo(200);
                answer(newerConnection, "r-2");
                assertThat(newer.get(5, TimeUnit.SECONDS)).isEqualTo(200);
                CompletableFuture<Integer> again = send(sending, "r-2");
                answer(olderConnection, "r-2");
                assertThat(again.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            }
        }
    }

    private CompletableFuture<Integer> send(Sending sending, String id) {
        Answer answer = new Answer();
        BackendRequest request =
                new BackendRequest(id, HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
        loop.execute(() -> sending.begin(pool, request, answer));
        return answer.status;
    }

    /** Reads the head of a request without a body, and answers it. */
    private static void answer(Socket connection, String id) throws IOException {
        connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        InputStream in = connection.getInputStream();
        int lineEnds = 0;
        while (lineEnds < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection was closed before a request");
            }
            lineEnds = next == '\r' || next == '\n' ? lineEnds + 1 : 0;
        }
        String answer = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: 2\r\n\r\nok";
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
    }

    /** Completes with the status of a whole answer, or exceptionally. */
    private static final class Answer implements AttemptListener {
        private final CompletableFuture<Integer> status = new CompletableFuture<>();
        private int received;

        @Override
        public void onHead(AnswerHead head) {
            received = head.status();
        }

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {
            status.complete(received);
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            status.completeExceptionally(new IOException(failure + ": " + reason));
        }
    }
}
