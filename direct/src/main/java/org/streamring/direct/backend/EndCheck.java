package org.streamring.direct.backend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.streamring.net.process.TcpClient;

/**
 * Finds out whether a server's process has ended, after an attempt broke off there. A cut answer, a reset connection
 * and a full server look alike; a process that has ended loses all its connections, and its box refuses new ones at
 * once. A box that is silent is not taken for one whose process has ended. Confined to the event loop.
 */
final class EndCheck {
    /** Connections of a process end within a few milliseconds of each other; all are read by then. */
    private static final long SETTLED_MILLIS = 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int connectTimeoutMillis;
    private final BooleanSupplier anyOpen;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();

    /**
     * Creates one.
     *
     * @param connectTimeoutMillis longest wait for a new connection
     * @param anyOpen whether a connection to the server is open
     */
    EndCheck(EventLoop loop, InetSocketAddress address, int connectTimeoutMillis, BooleanSupplier anyOpen) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.anyOpen = anyOpen;
    }

    /** Finds out; those who ask at about the same time share an answer. */
    void ask(Consumer<Boolean> then) {
        waiting.add(then);
        if (waiting.size() == 1) {
            loop.schedule(this::look, SETTLED_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void look() {
        if (anyOpen.getAsBoolean()) {
            tell(false);
            return;
        }
        ChannelFuture connecting = TcpClient.connect(loop, address, connectTimeoutMillis, created -> {});
        connecting.addListener(done -> {
            connecting.channel().close();
            tell(isRefusal(done.cause()));
        });
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void tell(boolean ended) {
        List<Consumer<Boolean>> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(each -> each.accept(ended));
    }
}
