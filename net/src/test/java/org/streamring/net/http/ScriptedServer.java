package org.streamring.net.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that plays the same script on each connection. */
public final class ScriptedServer implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private final ServerSocket socket;
    private final AtomicInteger connections = new AtomicInteger();

    /** What the server does on a connection. */
    public interface Script {
        /** Called for each connection, which is closed afterwards. */
        void play(Connection connection) throws IOException, InterruptedException;
    }

    /** Starts to accept connections on a free port. */
    public ScriptedServer(Script script) throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Connection accepted = new Connection(socket.accept(), connections.incrementAndGet());
                start(() -> {
                    try (accepted) {
                        script.play(accepted);
                    }
                });
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the client or the test has closed its end
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Returns the number of connections accepted so far. */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A connection of a client. */
    public static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final int number;

        private Connection(Socket socket, int number) throws IOException {
            this.socket = socket;
            this.number = number;
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
        }

        /** Returns 1 for the first connection, 2 for the second, and so on. */
        public int number() {
            return number;
        }

        /** Reads the head of a request without a body; returns false if the client has closed the connection. */
        public boolean readRequest() throws IOException {
            InputStream in = socket.getInputStream();
            int lineEnds = 0;
            while (lineEnds < 4) {
                int next = in.read();
                if (next < 0) {
                    return false;
                }
                lineEnds = next == '\r' || next == '\n' ? lineEnds + 1 : 0;
            }
            return true;
        }

        /** Writes text in ASCII. */
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** Ends the connection properly. */
        public void shutDown() throws IOException {
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
