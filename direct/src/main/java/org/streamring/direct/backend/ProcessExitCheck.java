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
 * Checks whether the process of a server has exited after an attempt on it broke. A truncated answer, a reset
 * connection and an overloaded server look alike. When a process exits, however, all its connections are closed and its
 * box refuses new ones at once. If the box does not respond, the process is not assumed to have exited. Confined to the
 * event loop.
 */
final class ProcessExitCheck {
    /**
     * Delay of the check. The connections of an exiting process close within a few milliseconds of each other, so all
     * of these events have been processed by then.
     */
    private static final long CHECK_DELAY_MILLIS = 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int connectTimeoutMillis;
    private final BooleanSupplier hasOpenConnection;
    private final List<Consumer<Boolean>> pending = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param connectTimeoutMillis connect timeout of the probe in milliseconds
     * @param hasOpenConnection returns whether a connection to the server is open
     */
    ProcessExitCheck(
            EventLoop loop, InetSocketAddress address, int connectTimeoutMillis, BooleanSupplier hasOpenConnection) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.hasOpenConnection = hasOpenConnection;
    }

    /** Runs the check; calls made before a pending check has finished share its result. */
    void run(Consumer<Boolean> callback) {
        pending.add(callback);
        if (pending.size() == 1) {
            loop.schedule(this::probe, CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void probe() {
        if (hasOpenConnection.getAsBoolean()) {
            complete(false);
            return;
        }
        ChannelFuture connecting = TcpClient.connect(loop, address, connectTimeoutMillis, created -> {});
        connecting.addListener(done -> {
            connecting.channel().close();
            complete(isRefusal(done.cause()));
        });
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void complete(boolean exited) {
        List<Consumer<Boolean>> callbacks = List.copyOf(pending);
        pending.clear();
        callbacks.forEach(each -> each.accept(exited));
    }
}
