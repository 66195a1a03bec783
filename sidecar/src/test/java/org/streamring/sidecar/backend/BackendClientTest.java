package org.streamring.sidecar.backend;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.receipt.Usage;
import org.streamring.net.generated.Wire.Header;
import org.streamring.net.generated.Wire.Submit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendClientTest {
    /** Longer than the buffers of the sockets. */
    private static final int LONG_BODY_BYTES = 8_000_000;

    private ServerSocket serverSocket;
    private BackendClient client;

    @BeforeMethod
    public void startClient() throws IOException {
        serverSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        URI url = URI.create("http://127.0.0.1:" + serverSocket.getLocalPort());
        client = new BackendClient(new BackendSettings(url, false, 0, Duration.ofSeconds(1), 1_000_000));
    }

    @AfterMethod(alwaysRun = true)
    public void stopClient() throws IOException {
        client.close();
        serverSocket.close();
    }

    /** Guards against a part of an answer that counts as whole because a failed write closed its connection. */
    @Test
    public void anAnswerThatIsResetWhileItsRequestIsWrittenIsNotComplete() throws Exception {
        respond(true);
        assertThat(call(LONG_BODY_BYTES)).isEqualTo("failed");
    }

    @Test
    public void anAnswerWithoutALengthIsCompleteWhenItsConnectionIsClosed() throws Exception {
        respond(false);
        assertThat(call(0)).isEqualTo("completed");
    }

    private String call(int bodyBytes) throws Exception {
        CompletableFuture<String> end = new CompletableFuture<>();
        Submit submit = Submit.newBuilder()
                .setAttempt("a-1")
                .setMethod("POST")
                .setPath("/setpoints/7")
                .setBody(ByteString.copyFrom(new byte[bodyBytes]))
                .build();
        client.start(submit, new BackendListener() {
            @Override
            public void begun(int status, List<Header> headers) {
                // only the end matters
            }

            @Override
            public void chunk(byte[] data) {
                // only the end matters
            }

            @Override
            public void completed(Usage usage) {
                end.complete("completed");
            }

            @Override
            public void notForwarded(String problem) {
                end.complete("not forwarded");
            }

            @Override
            public void failed(Usage usage, String problem) {
                end.complete("failed");
            }
        });
        return end.get(10, TimeUnit.SECONDS);
    }

    private void respond(boolean reset) {
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
}
