package reviewtwo;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A link to an address that can be cut: connections then stay open and nothing passes in either direction. */
final class Link implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final InetSocketAddress to;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Link(String ip, String toIp, int toPort) throws IOException {
        to = new InetSocketAddress(toIp, toPort);
        server.bind(new InetSocketAddress(ip, 0), 200);
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void cut() {
        cut = true;
    }

    /** Ends the cut. Connections from before are reset, as those of a network that comes back are after a while. */
    void heal() {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
        sockets.clear();
        cut = false;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                sockets.add(from);
                daemon(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        try {
            Socket onward = new Socket();
            sockets.add(onward);
            onward.connect(to, 2_000);
            from.setTcpNoDelay(true);
            onward.setTcpNoDelay(true);
            daemon(() -> pass(from, onward));
            pass(onward, from);
        } catch (IOException e) {
            close(from);
        }
    }

    private void pass(Socket from, Socket onward) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = onward.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                while (cut) {
                    Thread.sleep(10);
                }
                out.write(buffer, 0, read);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One of both is closed.
        }
        if (!cut) {
            close(from);
            close(onward);
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        heal();
    }
}
