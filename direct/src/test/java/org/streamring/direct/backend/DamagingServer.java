package org.streamring.direct.backend;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.streamring.direct.TestHeaders;
import org.streamring.standin.http.AnswerPlayer;
import org.streamring.standin.http.DamagedAnswer;

/** A server that answers each request by the script that was set for its identifier. */
final class DamagingServer implements AutoCloseable {
    private static final long SILENCE_MILLIS = 100;
    private static final String ID_FIELD = "\r\n" + TestHeaders.NAMES.requestId() + ": ";

    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, DamagedAnswer> scripts = new ConcurrentHashMap<>();
    private final AnswerPlayer player = new AnswerPlayer(SILENCE_MILLIS, this::close);
    private final ExecutorService threads;

    DamagingServer(ExecutorService threads) throws IOException {
        this.threads = threads;
        threads.submit(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    boolean exited() {
        return listening.isClosed();
    }

    void answerBy(String id, DamagedAnswer script) {
        scripts.put(id, script);
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket accepted = listening.accept();
                connections.add(accepted);
                threads.submit(() -> serve(accepted));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket accepted) {
        try (Socket socket = accepted) {
            boolean open = true;
            while (open) {
                String id = readId(socket.getInputStream());
                open = player.play(Objects.requireNonNull(scripts.get(id)), socket, socket.getOutputStream());
            }
        } catch (IOException closed) {
            // the caller has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(accepted);
        }
    }

    /** Reads the head of a request without a body, and returns its identifier. */
    private static String readId(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        int start = head.indexOf(ID_FIELD) + ID_FIELD.length();
        return head.substring(start, head.indexOf("\r\n", start));
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket each : connections) {
            each.close();
        }
    }
}
