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
 * Guards against answers without a body of which one is awaited: the next answer on the connection would be taken for
 * it.
 */
public class HeadAnswersTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 3_000;

    private NioEventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private BackendPool pool;

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
    public Object[][] framings() {
        return new Object[][] {{"Content-Length: 10\r\n"}, {"Transfer-Encoding: chunked\r\n"}};
    }

    @Test(dataProvider = "framings")
    public void theAnswerToHeadIsWholeWithItsHeadAndTheNextOneIsNotItsBody(String framing) throws Exception {
        CompletableFuture<String> head = send(HttpMethod.HEAD, "r-1");
        try (Socket connection = server.accept()) {
            answer(connection, "200 OK\r\nid: r-1\r\n" + framing + "\r\n");
            assertThat(head.get(3, TimeUnit.SECONDS)).isEqualTo("200 ");
            CompletableFuture<String> next = send(HttpMethod.GET, "r-2");
            answer(connection, "200 OK\r\nid: r-2\r\nContent-Length: 4\r\n\r\nnext");
            assertThat(next.get(3, TimeUnit.SECONDS)).isEqualTo("200 next");
        }
    }

    @Test
    public void aServerThatSwitchesToAnotherProtocolHasNotAnswered() throws Exception {
        CompletableFuture<String> asked = send(HttpMethod.GET, "r-1");
        try (Socket connection = server.accept()) {
            answer(connection, "101 Switching\r\nid: r-1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n");
            assertThat(asked.handle((answer, failed) -> failed == null ? answer : failed.getMessage())
                            .get(3, TimeUnit.SECONDS))
                    .startsWith("UNREADABLE");
        }
    }

    private CompletableFuture<String> send(HttpMethod method, String id) {
        Answer answer = new Answer();
        BackendRequest request = new BackendRequest(id, method, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
        loop.execute(() -> pool.begin(request, () -> true, answer));
        return answer.whole;
    }

    /** Reads the head of a request without a body, and writes an answer. */
    private static void answer(Socket connection, String answer) throws IOException {
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
        connection.getOutputStream().write(("HTTP/1.1 " + answer).getBytes(StandardCharsets.US_ASCII));
    }

    /** Completes with status and body of a whole answer, or exceptionally. */
    private static final class Answer implements AttemptListener {
        private final CompletableFuture<String> whole = new CompletableFuture<>();
        private final StringBuilder received = new StringBuilder();

        @Override
        public void onHead(AnswerHead head) {
            received.append(head.status()).append(' ');
        }

        @Override
        public void onData(byte[] data) {
            received.append(new String(data, StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            whole.complete(received.toString());
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            whole.completeExceptionally(new IOException(failure + ": " + reason));
        }
    }
}
