package org.streamring.direct.backend;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProcessExitCheckTest {
    private static final BackendRequest REQUEST =
            new BackendRequest("r-1", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0, false);

    private NioEventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private BackendPool pool;

    @BeforeMethod
    public void setUp() throws IOException {
        loops = new NioEventLoopGroup(1);
        loop = loops.next();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(5_000);
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

    /** The end of a connection is not noticed while it is not read. */
    @Test
    public void anExitIsFoundThoughAConnectionIsNotReadAsItsCallerIsSlow() throws Exception {
        BackendAttempt attempt = loop.submit(() -> pool.begin(REQUEST, () -> true, new IgnoredAnswer()))
                .get(5, TimeUnit.SECONDS);
        try (Socket connection = server.accept()) {
            assertThat(connection.getInputStream().read()).isPositive();
            loop.submit(() -> attempt.pauseReading(true)).get(5, TimeUnit.SECONDS);
        }
        server.close();
        assertThat(exited()).isTrue();
    }

    @Test
    public void aServerOfWhichAConnectionIsOpenHasNotExitedThoughItsPortIsClosed() throws Exception {
        loop.submit(() -> pool.begin(REQUEST, () -> true, new IgnoredAnswer())).get(5, TimeUnit.SECONDS);
        try (Socket connection = server.accept()) {
            assertThat(connection.getInputStream().read()).isPositive();
            server.close();
            assertThat(exited()).isFalse();
        }
    }

    private boolean exited() throws Exception {
        CompletableFuture<Boolean> exited = new CompletableFuture<>();
        loop.execute(() -> pool.checkProcessExited(exited::complete));
        return exited.get(5, TimeUnit.SECONDS);
    }

    private static final class IgnoredAnswer implements AttemptListener {
        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onData(byte[] data) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(AttemptFailure failure, String reason) {}
    }
}
