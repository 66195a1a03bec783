package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bodies that hold a second answer: an answer breaks off in its body, and the server answers the same
 * request once more on the same connection.
 */
public class MergedBodiesTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;
    private static final String ID = "9c41d07be2a35f68";
    private static final String LENGTH = "Content-Length: %d\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n%x\r\n";
    private static final String NO_LENGTH = "Connection: close\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nid: " + ID
            + "\r\nContent-Length: 6\r\nsignature: 2\r\n\r\nfailed";
    private static final String PART = "part";

    private final List<String> merged = Collections.synchronizedList(new ArrayList<>());
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
        merged.clear();
        pool = new BackendPool(
                loop,
                (InetSocketAddress) server.getLocalSocketAddress(),
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> {},
                new Recorder());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {{LENGTH}, {CHUNKED}, {NO_LENGTH}};
    }

    @Test(dataProvider = "framings")
    public void aBodyOfWhichAnyNumberOfBytesIsMissingIsNotCompletedByASecondAnswer(String framing) throws Exception {
        for (int missing = 1; missing <= SECOND.length() + 2; missing++) {
            Answer answer = new Answer();
            try (Socket connection = send(answer)) {
                write(connection, head(framing, PART.length() + missing) + PART);
                answer.awaitBytes(PART.length());
                write(connection, SECOND);
                connection.shutdownOutput();
                assertThat(answer.body
                                .handle((body, broken) -> broken == null ? body : "broken off")
                                .get(5, TimeUnit.SECONDS))
                        .as("%d bytes missing", missing)
                        .isEqualTo("broken off");
            }
        }
    }

    @Test
    public void aBodyWithASecondAnswerIsReported() throws Exception {
        Answer answer = new Answer();
        try (Socket connection = send(answer)) {
            write(connection, head(LENGTH, PART.length() + SECOND.length()) + PART + SECOND);
            Awaitility.await().until(answer.body::isDone);
        }
        assertThat(answer.failures).containsExactly(AttemptFailure.MERGED);
        assertThat(merged).singleElement().asString().startsWith(ID + " ").contains("body");
    }

    @Test
    public void noByteOfASecondAnswerIsPassedOnAfterItsHeadIsKnown() throws Exception {
        Answer answer = new Answer();
        try (Socket connection = send(answer)) {
            write(connection, head(NO_LENGTH, 0) + "id: 1\ndata: e1\n\nid: 2\nda");
            answer.awaitBytes("id: 1\ndata: e1\n\nid: 2\nda".length());
            write(connection, SECOND);
            Awaitility.await().until(answer.body::isDone);
        }
        assertThat(answer.received.toString(StandardCharsets.US_ASCII)).isEqualTo("id: 1\ndata: e1\n\nid: 2\nda");
    }

    @DataProvider
    public Object[][] soundBodies() {
        return new Object[][] {
            {"it answered HTTP/1.1 500 and no more"},
            {"HTTP/1.1 500 X\r\nid: of-another-request\r\n\r\n"},
            {"GET /a HTTP/1.1\r\nid: " + ID + "\r\n\r\n"},
            {"HTTP/1.1 500 X\r\n\r\nid: " + ID + "\r\n\r\n"},
        };
    }

    @Test(dataProvider = "soundBodies")
    public void aBodyThatMentionsAnAnswerIsSound(String body) throws Exception {
        for (String framing : List.of(NO_LENGTH, LENGTH)) {
            Answer answer = new Answer();
            try (Socket connection = send(answer)) {
                write(connection, head(framing, body.length()) + body);
                connection.shutdownOutput();
                assertThat(answer.body.get(5, TimeUnit.SECONDS)).isEqualTo(body);
            }
        }
    }

    @Test
    public void aWholeBodyIsSoundThoughASecondAnswerArrivesBehindIt() throws Exception {
        Answer answer = new Answer();
        try (Socket connection = send(answer)) {
            write(connection, head(LENGTH, PART.length()) + PART + SECOND);
            assertThat(answer.body.get(5, TimeUnit.SECONDS)).isEqualTo(PART);
        }
    }

    /** Sends a request and reads its head at the server. */
    private Socket send(Answer answer) throws IOException {
        BackendRequest request =
                new BackendRequest(ID, HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
        loop.execute(() -> pool.begin(request, () -> true, answer));
        Socket connection = server.accept();
        connection.setTcpNoDelay(true);
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
        return connection;
    }

    private static String head(String framing, int length) {
        return "HTTP/1.1 200 OK\r\nid: " + ID + "\r\nsignature: 1\r\n" + framing.formatted(length);
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private final class Recorder implements AnswerDefectListener {
        @Override
        public void onMergedHead(String request, String detail) {
            merged.add(request + " " + detail);
        }

        @Override
        public void onStrayBytes(StrayBytes found) {}
    }

    /** Completes with a whole body, or exceptionally. */
    private static final class Answer implements AttemptListener {
        private final CompletableFuture<String> body = new CompletableFuture<>();
        private final List<AttemptFailure> failures = Collections.synchronizedList(new ArrayList<>());
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        void awaitBytes(int count) {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (received.size() < count && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
        }

        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onData(byte[] data) {
            received.writeBytes(data);
        }

        @Override
        public void onEnd() {
            body.complete(received.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            failures.add(failure);
            body.completeExceptionally(new IOException(failure + ": " + reason));
        }
    }
}
