package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.backend.AttemptFailure;
import org.streamring.direct.backend.AttemptListener;
import org.streamring.direct.backend.BackendAttempt;
import org.streamring.direct.backend.BackendPool;
import org.streamring.direct.backend.BackendRequest;
import org.streamring.direct.backend.NoDefects;
import org.streamring.direct.backend.Silence;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against taking a server for silent whose bytes lie unread, because the event loop was held up by something
 * else, for instance by a long message on another connection.
 */
public class SilenceCheckTest {
    private static final BackendRequest REQUEST = request("r-1");
    private static final BackendRequest REQUEST_BEFORE = request("r-0");
    private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r-1\r\nContent-Length: 5\r\n\r\n";
    private static final long SILENCE_MILLIS = 1_000;
    private static final long HELD_UP_MILLIS = 1_500;

    private final BlockingQueue<Silence> checked = new LinkedBlockingQueue<>();
    private final List<Silence> silences = new CopyOnWriteArrayList<>();
    private NioEventLoopGroup loops;
    private ServerSocket server;
    private ServerSocket otherServer;

    @BeforeMethod
    public void setUp() throws IOException {
        loops = new NioEventLoopGroup(1);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        otherServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        checked.clear();
        silences.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        server.close();
        otherServer.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void bytesThatLieUnreadWhileTheEventLoopIsHeldUpAreNoSilence() throws Exception {
        Listener streamed = new Listener(0);
        try (Socket stream = beginOnReusedConnection(streamed);
                Socket other = begin(pool(otherServer), REQUEST, new Listener(HELD_UP_MILLIS), otherServer)) {
            write(stream, HEAD + "1");
            streamed.data.get(5, TimeUnit.SECONDS);
            write(other, HEAD + "1");
            Thread.sleep(HELD_UP_MILLIS / 2);
            write(stream, "2");
            awaitCheck();
        }
        assertThat(silences).isEmpty();
    }

    @Test
    public void aServerThatSendsNothingIsSilent() throws Exception {
        try (Socket stream = beginOnReusedConnection(new Listener(0))) {
            write(stream, HEAD + "1");
            Thread.sleep(2 * SILENCE_MILLIS);
        }
        assertThat(silences).isNotEmpty();
    }

    private void awaitCheck() throws InterruptedException {
        checked.clear();
        for (int i = 0; i < 3; i++) {
            assertThat(checked.poll(5, TimeUnit.SECONDS)).isNotNull();
        }
    }

    private BackendPool pool(ServerSocket target) {
        return new BackendPool(
                loops.next(),
                (InetSocketAddress) target.getLocalSocketAddress(),
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> {},
                new NoDefects());
    }

    /** Begins an attempt on a connection that has served another request, and checks it for silence. */
    private Socket beginOnReusedConnection(Listener listener) throws Exception {
        BackendPool pool = pool(server);
        Listener before = new Listener(0);
        Socket socket = begin(pool, REQUEST_BEFORE, before, server);
        write(socket, HEAD.replace("r-1", "r-0") + "12345");
        before.end.get(5, TimeUnit.SECONDS);
        EventLoop loop = loops.next();
        BackendAttempt attempt =
                loop.submit(() -> pool.begin(REQUEST, () -> true, listener)).get();
        SilenceCheck check =
                new SilenceCheck(loop, () -> attempt.checkResponsiveness(SILENCE_MILLIS), this::recordCheck);
        loop.submit(check::start).get();
        return socket;
    }

    private void recordCheck(Silence silence) {
        checked.add(silence);
        if (silence != Silence.NONE) {
            silences.add(silence);
        }
    }

    private static BackendRequest request(String id) {
        return new BackendRequest(id, HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);
    }

    private Socket begin(BackendPool pool, BackendRequest request, Listener listener, ServerSocket target)
            throws Exception {
        loops.next().submit(() -> pool.begin(request, () -> true, listener)).get();
        return target.accept();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A listener that blocks the event loop while it receives data. */
    private static final class Listener implements AttemptListener {
        private final long blockedMillis;
        private final CompletableFuture<Boolean> data = new CompletableFuture<>();
        private final CompletableFuture<Boolean> end = new CompletableFuture<>();

        Listener(long blockedMillis) {
            this.blockedMillis = blockedMillis;
        }

        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onData(byte[] bytes) {
            data.complete(true);
            try {
                Thread.sleep(blockedMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onEnd() {
            end.complete(true);
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {}
    }
}
