package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against wrong conclusions from the silence of a server, with a clock that only the test moves. */
public class SilentServerTest {
    private static final BackendRequest REQUEST =
            new BackendRequest("r-1", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
    /** A request before that one: no connection carries an identifier twice. */
    private static final BackendRequest EARLIER =
            new BackendRequest("r-0", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);

    private static final String EARLIER_ANSWER = "HTTP/1.1 200 OK\r\nid: r-0\r\nContent-Length: 2\r\n\r\nok";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r-1\r\nContent-Length: 2\r\n\r\n";
    private static final long SILENCE_MILLIS = 1_000;
    private static final long QUIET_MILLIS = 500;
    private static final int NO_CONNECTION_MILLIS = 300;

    private final AtomicLong nowMillis = new AtomicLong(100_000);
    private final AtomicReference<Runnable> onConnected = new AtomicReference<>(() -> {});
    private final List<Socket> accepted = new ArrayList<>();
    private NioEventLoopGroup loops;
    private ServerSocket server;
    private BackendPool pool;

    @BeforeMethod
    public void setUp() throws IOException {
        loops = new NioEventLoopGroup(1);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        onConnected.set(() -> {});
        accepted.clear();
        pool = new BackendPool(
                loops.next(),
                (InetSocketAddress) server.getLocalSocketAddress(),
                TestHeaders.NAMES,
                nowMillis::get,
                took -> onConnected.get().run(),
                (status, notice, limit, sentMillis) -> {},
                new NoDefects());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        for (Socket each : accepted) {
            each.close();
        }
        server.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loops.next().submit(task).get(5, TimeUnit.SECONDS);
    }

    private BackendAttempt begin(Answer answer) throws Exception {
        return onLoop(() -> pool.begin(REQUEST, () -> true, answer));
    }

    private Socket accept() throws IOException {
        server.setSoTimeout(5_000);
        Socket socket = server.accept();
        socket.setSoTimeout(5_000);
        accepted.add(socket);
        readRequest(socket);
        return socket;
    }

    private boolean isConnectedTo() throws IOException {
        server.setSoTimeout(NO_CONNECTION_MILLIS);
        try {
            accepted.add(server.accept());
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            assertThat(next).as("the connection is open").isNotNegative();
            head.append((char) next);
        }
    }

    private static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Leaves an idle connection that has carried one request. */
    private void leaveIdleConnection() throws Exception {
        Answer answer = new Answer();
        onLoop(() -> pool.begin(EARLIER, () -> true, answer));
        write(accept(), EARLIER_ANSWER);
        answer.end.get(5, TimeUnit.SECONDS);
    }

    @Test
    public void aSilentRequestIsSentAgainOverANewConnectionAsAnIdleOneMayHaveFailedToo() throws Exception {
        leaveIdleConnection();
        nowMillis.addAndGet(SILENCE_MILLIS);
        onLoop(() -> pool.beginReplacing(REQUEST, () -> true, new Answer()));
        assertThat(isConnectedTo()).isTrue();
    }

    @Test
    public void aSilentRequestIsSentAgainOverAConnectionThatWasUsedJustBefore() throws Exception {
        leaveIdleConnection();
        onLoop(() -> pool.beginReplacing(REQUEST, () -> true, new Answer()));
        readRequest(accepted.get(0));
        assertThat(isConnectedTo()).isFalse();
    }

    @Test
    public void aServerIsQuietThoughItsSystemAcceptsAnotherConnection() throws Exception {
        begin(new Answer());
        accept();
        nowMillis.addAndGet(QUIET_MILLIS + 100);
        begin(new Answer());
        accept();
        assertThat(onLoop(() -> pool.isQuiet(QUIET_MILLIS))).isTrue();
    }

    @Test
    public void anAttemptThatStaysSilentIsEvidenceForASecondOnly() throws Exception {
        Answer other = new Answer();
        onLoop(() -> pool.begin(EARLIER, () -> true, other));
        Socket idle = accept();
        begin(new Answer());
        accept();
        write(idle, EARLIER_ANSWER);
        other.end.get(5, TimeUnit.SECONDS);

        nowMillis.addAndGet(SILENCE_MILLIS + 500);
        BackendAttempt early = begin(new Answer());
        assertThat(onLoop(() -> early.checkResponsiveness(SILENCE_MILLIS))).isEqualTo(Silence.BACKEND);
        nowMillis.addAndGet(SILENCE_MILLIS - 400);
        assertThat(onLoop(() -> early.checkResponsiveness(SILENCE_MILLIS))).isEqualTo(Silence.NONE);
    }

    /** The bytes arrive when the new connection is established, and lie unread then. */
    @Test
    public void whatTheSilentConnectionHasReceivedIsReadBeforeARequestIsSentAgain() throws Exception {
        Answer silent = new Answer();
        begin(silent);
        Socket silentSocket = accept();
        AtomicBoolean heardBefore = new AtomicBoolean();
        Answer next = new Answer();
        onConnected.set(() -> write(silentSocket, HEAD));
        onLoop(() -> pool.beginReplacing(
                REQUEST,
                () -> {
                    heardBefore.set(silent.head.isDone());
                    return false;
                },
                next));
        assertThat(next.failure.get(5, TimeUnit.SECONDS)).isEqualTo(AttemptFailure.WITHDRAWN);
        assertThat(heardBefore).isTrue();
    }

    private static final class Answer implements AttemptListener {
        private final CompletableFuture<Boolean> head = new CompletableFuture<>();
        private final CompletableFuture<Boolean> end = new CompletableFuture<>();
        private final CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();

        @Override
        public void onHead(AnswerHead answerHead) {
            head.complete(true);
        }

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {
            end.complete(true);
        }

        @Override
        public void onFailure(AttemptFailure cause, String reason) {
            failure.complete(cause);
        }
    }
}
