package org.streamring.direct.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.streamring.kernel.registry.BackendInstance;

/** A port whose queue of connections is full, so that connecting to it takes until the timeout. */
final class UnansweredPort implements AutoCloseable {
    private static final int CONNECTIONS_TO_FILL_QUEUE = 4;
    private static final int CONNECT_MILLIS = 100;

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queued = new ArrayList<>();

    UnansweredPort() throws IOException {
        for (int i = 0; i < CONNECTIONS_TO_FILL_QUEUE; i++) {
            Socket socket = new Socket();
            queued.add(socket);
            try {
                socket.connect(server.getLocalSocketAddress(), CONNECT_MILLIS);
            } catch (SocketTimeoutException e) {
                // the queue is full
            }
        }
    }

    /** Returns a row of the list of servers by which a replica listens on this port. */
    BackendInstance row(String id) {
        return new BackendInstance(
                id, PlayedEntry.SERVICE, "127.0.0.1", server.getLocalPort(), "hall", 8, true, 0, 0, "v1");
    }

    @Override
    public void close() throws IOException {
        for (Socket each : queued) {
            each.close();
        }
        server.close();
    }
}
