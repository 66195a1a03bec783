package org.streamring.direct.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.streamring.kernel.registry.BackendInstance;

/** A replica whose connections a test accepts, reads and answers itself. */
final class PlayedReplica implements AutoCloseable {
    private static final int MAX_WAIT_MILLIS = 5_000;
    /** Longer than the time between two checks for silence. */
    private static final int QUIET_MILLIS = 500;

    private final String id;
    private final ServerSocket server;
    private final List<Socket> accepted = new ArrayList<>();

    PlayedReplica(String id) throws IOException {
        this.id = id;
        this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    BackendInstance row(String service, boolean ready) {
        return new BackendInstance(id, service, "127.0.0.1", server.getLocalPort(), "hall", 8, ready, 0, 0, "v1");
    }

    /** Accepts the next connection. */
    Connection accept() throws IOException {
        return accept(MAX_WAIT_MILLIS);
    }

    private Connection accept(int waitMillis) throws IOException {
        server.setSoTimeout(waitMillis);
        Socket socket = server.accept();
        socket.setSoTimeout(MAX_WAIT_MILLIS);
        accepted.add(socket);
        return new Connection(socket);
    }

    /** Returns whether a connection is opened before two more checks for silence have passed. */
    boolean isConnectedTo() throws IOException {
        try {
            accept(QUIET_MILLIS);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket each : accepted) {
            each.close();
        }
        server.close();
    }

    /** A connection of the entry. */
    record Connection(Socket socket) {
        /** Reads the head of a request; empty if the connection is closed before it. */
        String readRequest() throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int next = in.read();
            while (next >= 0) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    return head.toString();
                }
                next = in.read();
            }
            return head.toString();
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Writes the head of an answer whose body has two bytes. */
        void writeHead(String id) throws IOException {
            write("HTTP/1.1 200 OK\r\nid: " + id + "\r\nsignature: s\r\nContent-Length: 2\r\n\r\n");
        }

        void answer(String id) throws IOException {
            writeHead(id);
            write("ok");
        }

        /** States that the request is not run. */
        void refuse(String id) throws IOException {
            write("HTTP/1.1 503 Busy\r\nid: " + id + "\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");
        }

        /** Returns whether the entry has reset the connection, or does so before anything else arrives. */
        boolean isReset() throws IOException {
            try {
                socket.getInputStream().read();
                return false;
            } catch (SocketException e) {
                return true;
            }
        }
    }
}
