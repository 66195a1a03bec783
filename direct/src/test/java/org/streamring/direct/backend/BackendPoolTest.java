package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.streamring.direct.TestHeaders;
import org.streamring.kernel.availability.BackendNotice;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against sending a request to a server that no longer accepts it. Opening a connection may take up to half a
 * second. Meanwhile, the server may announce in the answer to another request that it is shutting down or requests a
 * back-off, so the pool checks again whether the request may be sent.
 */
public class BackendPoolTest {
    private static final BackendRequest REQUEST =
            new BackendRequest("r-1", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);

    private final List<BackendNotice> notices = new ArrayList<>();
    private NioEventLoopGroup loops;
    private ServerSocket server;
    private BackendPool pool;

    @BeforeMethod
    public void setUp() throws IOException {
        loops = new NioEventLoopGroup(1);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        EventLoop loop = loops.next();
        notices.clear();
        pool = new BackendPool(
                loop,
                (InetSocketAddress) server.getLocalSocketAddress(),
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> notices.add(notice),
                new NoDefects());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void aRequestIsNotSentIfItsServerStopsAcceptingRequestsWhileItsConnectionIsOpened() throws Exception {
        AtomicBoolean mayBeSent = new AtomicBoolean(true);
        Outcome outcome = new Outcome();
        loops.next()
                .submit(() -> {
                    pool.begin(REQUEST, mayBeSent::get, outcome);
                    mayBeSent.set(false);
                })
                .sync();
        assertThat(outcome.failure.get(5, TimeUnit.SECONDS)).isEqualTo(AttemptFailure.WITHDRAWN);
        try (Socket accepted = server.accept()) {
            assertThat(accepted.getInputStream().read())
                    .as("the connection is closed without a byte")
                    .isEqualTo(-1);
        }
    }

    @Test
    public void theNoticesInAnAnswerToAnotherRequestAreReported() throws Exception {
        Outcome outcome = new Outcome();
        loops.next().submit(() -> pool.begin(REQUEST, () -> true, outcome)).sync();
        try (Socket accepted = server.accept()) {
            accepted.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nid: r-0\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            accepted.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nid: r-1\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            assertThat(outcome.status.get(5, TimeUnit.SECONDS)).isEqualTo(200);
        }
        assertThat(notices).containsExactly(new BackendNotice(true, 0), BackendNotice.NONE);
    }

    @Test
    public void aRequestCanBeCancelledOnAClosedConnection() throws Exception {
        NioSocketChannel channel = new NioSocketChannel();
        EventLoop loop = loops.next();
        loop.register(channel).sync();
        BackendConnection connection = new BackendConnection(pool, TestHeaders.NAMES.requestId());
        loop.submit(() -> {
                    connection.opened(channel);
                    channel.close();
                    connection.cancel();
                })
                .sync();
        assertThat(connection.busy()).isFalse();
    }

    @Test
    public void aServerThatAcceptsNoConnectionsIsNotTakenForOneThatHasExited() throws Exception {
        List<Socket> unaccepted = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) silent.getLocalSocketAddress();
            for (int i = 0; i < 4; i++) {
                unaccepted.add(connectWithoutWaiting(address));
            }
            assertThat(exited(address)).isFalse();
            silent.close();
            assertThat(exited(address)).isTrue();
        } finally {
            for (Socket each : unaccepted) {
                each.close();
            }
        }
    }

    /** Opens a connection that stays in the queue of its server, or is not established if the queue is full. */
    private static Socket connectWithoutWaiting(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, 100);
        } catch (SocketTimeoutException e) {
            // the queue is full
        }
        return socket;
    }

    private boolean exited(InetSocketAddress address) throws Exception {
        CompletableFuture<Boolean> exited = new CompletableFuture<>();
        BackendPool checked = new BackendPool(
                loops.next(),
                address,
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> {},
                new NoDefects());
        loops.next().execute(() -> checked.checkProcessExited(exited::complete));
        return exited.get(5, TimeUnit.SECONDS);
    }

    private static final class Outcome implements AttemptListener {
        private final CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();
        private final CompletableFuture<Integer> status = new CompletableFuture<>();

        @Override
        public void onHead(AnswerHead head) {
            status.complete(head.status());
        }

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(AttemptFailure cause, String reason) {
            failure.complete(cause);
        }
    }
}
