package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.backend.StrayBytes.Place;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a connection that is used again although the server has sent bytes that belong to no request. */
public class StrayBytesTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;

    private final List<StrayBytes> stray = Collections.synchronizedList(new ArrayList<>());
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
        stray.clear();
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
    public Object[][] strayBytes() {
        return new Object[][] {
            {"HTTP/1.1 500 Fai"},
            {"HTTP/1.1 500 X\r\nid: r-1\r\nContent-Length: 0\r\n\r\n"},
            {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"},
            {"x"},
            {"\r\n"},
        };
    }

    @Test(dataProvider = "strayBytes")
    public void aConnectionIsNotUsedAgainIfBytesArriveWithTheEndOfAnAnswer(String bytes) throws Exception {
        CompletableFuture<Integer> first = send("r-1");
        try (Socket connection = accept()) {
            write(connection, answer("r-1") + bytes);
            assertThat(first.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            assertThat(connection.getInputStream().read()).as("closed").isEqualTo(-1);
        }
        assertThat(stray).extracting(StrayBytes::place).contains(Place.BEHIND_ANSWER);
        theNextRequestIsAnsweredOverANewConnection();
    }

    @Test(dataProvider = "strayBytes")
    public void aConnectionIsNotUsedAgainIfBytesArriveWhileItIsIdle(String bytes) throws Exception {
        CompletableFuture<Integer> first = send("r-1");
        try (Socket connection = accept()) {
            write(connection, answer("r-1"));
            assertThat(first.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            write(connection, bytes);
            assertThat(connection.getInputStream().read()).as("closed").isEqualTo(-1);
        }
        assertThat(stray).containsExactly(new StrayBytes(Place.IDLE, bytes.length(), "r-1", ""));
        theNextRequestIsAnsweredOverANewConnection();
    }

    @Test
    public void aConnectionIsNotUsedAgainIfTheAnswerToAnotherRequestArrives() throws Exception {
        CompletableFuture<Integer> first = send("r-1");
        try (Socket connection = accept()) {
            write(connection, answer("r-0") + answer("r-1"));
            assertThat(first.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            assertThat(connection.getInputStream().read()).as("closed").isEqualTo(-1);
        }
        assertThat(stray).containsExactly(new StrayBytes(Place.BEFORE_ANSWER, 0, "r-1", "r-0"));
        theNextRequestIsAnsweredOverANewConnection();
    }

    /** Guards against a request that waits for its deadline, as its answer is skipped with the one before. */
    @Test
    public void anAnswerThatFollowsAnIncompleteOneToAnotherRequestBreaksTheAttempt() throws Exception {
        CompletableFuture<Integer> first = send("r-1");
        try (Socket connection = accept()) {
            write(connection, "HTTP/1.1 200 OK\r\nid: r-0\r\nContent-Length: 5000\r\n\r\npart" + answer("r-1"));
            assertThatThrownBy(() -> first.get(5, TimeUnit.SECONDS)).hasMessageContaining("MERGED");
        }
        theNextRequestIsAnsweredOverANewConnection();
    }

    private void theNextRequestIsAnsweredOverANewConnection() throws Exception {
        CompletableFuture<Integer> next = send("r-2");
        try (Socket connection = accept()) {
            write(connection, answer("r-2"));
            assertThat(next.get(5, TimeUnit.SECONDS)).isEqualTo(200);
        }
    }

    private CompletableFuture<Integer> send(String id) {
        Answer answer = new Answer();
        BackendRequest request =
                new BackendRequest(id, HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
        loop.execute(() -> pool.begin(request, () -> true, answer));
        return answer.status;
    }

    /** Accepts a connection and reads the head of a request without a body. */
    private Socket accept() throws IOException {
        Socket connection = server.accept();
        connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        InputStream in = connection.getInputStream();
        int lineEnds = 0;
        while (lineEnds < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed before the end of the head");
            }
            lineEnds = next == '\r' || next == '\n' ? lineEnds + 1 : 0;
        }
        return connection;
    }

    private static String answer(String id) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: 2\r\n\r\nok";
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private final class Recorder implements AnswerDefectListener {
        @Override
        public void onMergedHead(String request, String detail) {}

        @Override
        public void onStrayBytes(StrayBytes found) {
            stray.add(found);
        }
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
