package org.streamring.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HttpCallerTest {
    private static final long IDLE_TIMEOUT_MILLIS = 800;
    private static final long BYTE_INTERVAL_MILLIS = 80;
    private static final int CONTENT_LENGTH = 40;
    /** Longer than the buffers of the sockets. */
    private static final int LONG_BODY_BYTES = 8_000_000;

    private NioEventLoopGroup loops;
    private ServerSocket serverSocket;

    @BeforeMethod
    public void setUp() throws Exception {
        loops = new NioEventLoopGroup(1);
        serverSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        loadClasses();
    }

    /** The first call of a process loads the client classes, which may take longer than the idle timeout under test. */
    private void loadClasses() throws Exception {
        respondWith(CONTENT_LENGTH, 0);
        call(10_000).get(20, TimeUnit.SECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        serverSocket.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    @Test
    public void aSlowResponseIsReadWhileItsBytesKeepArriving() throws Exception {
        respondWith(CONTENT_LENGTH);
        assertThat(new String(
                        call(IDLE_TIMEOUT_MILLIS).get(10, TimeUnit.SECONDS).body(), StandardCharsets.UTF_8))
                .hasSize(CONTENT_LENGTH);
    }

    @Test
    public void aResponseThatStallsTimesOut() {
        respondWith(CONTENT_LENGTH / 4);
        assertThatThrownBy(() -> call(IDLE_TIMEOUT_MILLIS).get(5, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasMessageContaining("no answer in time, ");
    }

    @Test
    public void aResponseThatNeverEndsTimesOut() {
        respondWith(CONTENT_LENGTH * 1_000);
        long startNanos = System.nanoTime();
        assertThatThrownBy(() -> call(IDLE_TIMEOUT_MILLIS).get(20, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasMessageContaining("no answer in time, ");
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertThat(elapsedMillis).isGreaterThan(IDLE_TIMEOUT_MILLIS * HttpCaller.TOTAL_TIMEOUT_FACTOR - 50);
    }

    /** Guards against a part of a response that counts as whole because a failed write closed its connection. */
    @Test
    public void aResponseWithoutALengthWhoseConnectionIsResetWhileTheRequestIsWrittenFails() throws Exception {
        respondWithoutLength(true);
        assertThatThrownBy(() -> send(new byte[LONG_BODY_BYTES]).get(5, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class);
    }

    @Test
    public void aResponseWithoutALengthIsWholeWhenItsConnectionIsClosed() throws Exception {
        respondWithoutLength(false);
        assertThat(send(new byte[0]).get(5, TimeUnit.SECONDS).body()).hasSize(4);
    }

    private void respondWithoutLength(boolean reset) {
        Thread server = new Thread(() -> {
            try (Socket socket = serverSocket.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.UTF_8));
                Thread.sleep(200);
                if (reset) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                }
            } catch (IOException e) {
                // the client closed the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.setDaemon(true);
        server.start();
    }

    private CompletableFuture<HttpReply> send(byte[] body) throws InterruptedException, ExecutionException {
        return call(body, 10_000);
    }

    /** Sends a response of this many bytes, one by one. The content length is at least {@code CONTENT_LENGTH}. */
    private void respondWith(int bytes) {
        respondWith(bytes, BYTE_INTERVAL_MILLIS);
    }

    private void respondWith(int bytes, long byteIntervalMillis) {
        Thread server = new Thread(() -> {
            try (Socket socket = serverSocket.accept()) {
                OutputStream out = socket.getOutputStream();
                int length = Math.max(CONTENT_LENGTH, bytes);
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
                for (int i = 0; i < bytes; i++) {
                    out.write('x');
                    Thread.sleep(byteIntervalMillis);
                }
                Thread.sleep(10_000);
            } catch (IOException e) {
                // the client closed the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.setDaemon(true);
        server.start();
    }

    private CompletableFuture<HttpReply> call(long idleTimeoutMillis) throws InterruptedException, ExecutionException {
        return call(new byte[0], idleTimeoutMillis);
    }

    private CompletableFuture<HttpReply> call(byte[] body, long idleTimeoutMillis)
            throws InterruptedException, ExecutionException {
        HttpCaller caller = new HttpCaller(
                loops.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), serverSocket.getLocalPort()),
                List.of());
        return CompletableFuture.supplyAsync(
                        () -> caller.call(HttpMethod.GET, "/", body, idleTimeoutMillis), loops.next())
                .get();
    }
}
