package org.streamring.direct.backend;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.streamring.net.process.TcpClient;

/**
 * Watches whether the process of a server exits after requests to it were given up, whose own connections were reset.
 * While it watches, it keeps one connection without requests open. The box of the server accepts it even if the process
 * is silent, and it ends with the process. Confined to the event loop.
 */
final class ProcessExitWatch {
    /** Shorter than the time that a process takes to restart. */
    private static final long RECONNECT_MILLIS = 250;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int connectTimeoutMillis;
    private final ProcessExitCheck exitCheck;
    private final List<Consumer<Boolean>> watching = new ArrayList<>();
    private @Nullable Channel connection;

    /**
     * Creates a watch without a connection.
     *
     * @param connectTimeoutMillis connect timeout of the connection in milliseconds
     * @param exitCheck tells a process that has exited from one that only closed the connection
     */
    ProcessExitWatch(EventLoop loop, InetSocketAddress address, int connectTimeoutMillis, ProcessExitCheck exitCheck) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.exitCheck = exitCheck;
    }

    /** Calls back once: when the process has exited, or when the time is over. */
    void run(long millis, Consumer<Boolean> callback) {
        watching.add(callback);
        loop.schedule(() -> timeOver(callback), millis, TimeUnit.MILLISECONDS);
        connectIfNeeded();
    }

    private void timeOver(Consumer<Boolean> callback) {
        if (!watching.remove(callback)) {
            return;
        }
        Channel unneeded = watching.isEmpty() ? connection : null;
        if (unneeded != null) {
            connection = null;
            unneeded.close();
        }
        callback.accept(false);
    }

    private void connectIfNeeded() {
        if (connection != null || watching.isEmpty()) {
            return;
        }
        Channel opened = TcpClient.connect(loop, address, connectTimeoutMillis, created -> created.pipeline()
                        .addLast(new IgnoringHandler()))
                .channel();
        connection = opened;
        opened.closeFuture().addListener(closed -> connectionEnded(opened));
    }

    /** Called when the connection was closed, or could not be opened. */
    private void connectionEnded(Channel ended) {
        if (connection == ended) {
            exitCheck.run(exited -> exitChecked(ended, exited));
        }
    }

    private void exitChecked(Channel ended, boolean exited) {
        if (connection != ended) {
            return;
        }
        connection = null;
        if (!exited) {
            loop.schedule(this::connectIfNeeded, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        List<Consumer<Boolean>> callbacks = List.copyOf(watching);
        watching.clear();
        callbacks.forEach(each -> each.accept(true));
    }
}
