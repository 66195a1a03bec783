package org.streamring.direct.backend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.net.process.TcpClient;

/**
 * Checks whether the process of a server has exited after an attempt on it broke. A truncated answer, a reset
 * connection and an overloaded server look alike. When a process exits, however, all its connections are closed and its
 * box refuses new ones at once. If the box does not respond, the process is not assumed to have exited.
 *
 * <p>If this entry is held up meanwhile, the process may have restarted before the check. It is then found when the row
 * of its successor arrives, provided that no connection from before stays open. Confined to the event loop.
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
    private final Supplier<Set<BackendConnection>> openConnections;
    private final List<ProcessExitListener> pending = new ArrayList<>();
    private Set<BackendConnection> openBefore = Set.of();
    private @Nullable ReplacementWitness witness;

    /**
     * Creates a check.
     *
     * @param connectTimeoutMillis connect timeout of the probe in milliseconds
     * @param openConnections returns the connections to the server that are open
     */
    ProcessExitCheck(
            EventLoop loop,
            InetSocketAddress address,
            int connectTimeoutMillis,
            Supplier<Set<BackendConnection>> openConnections) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.openConnections = openConnections;
    }

    /** Runs the check; calls made before a pending check has finished share its result. */
    void run(ProcessExitListener listener) {
        pending.add(listener);
        if (pending.size() == 1) {
            openBefore = Set.copyOf(openConnections.get());
            loop.schedule(this::probe, CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void probe() {
        if (isSameProcess()) {
            complete(false);
            return;
        }
        ChannelFuture connecting = TcpClient.connect(loop, address, connectTimeoutMillis, created -> created.pipeline()
                .addLast(new IgnoringHandler()));
        connecting.addListener(done -> {
            List<ProcessExitListener> checked = complete(isRefusal(done.cause()) && !hasOpenConnection());
            if (done.isSuccess()) {
                witness = ReplacementWitness.start(loop, connecting.channel(), checked);
            }
        });
    }

    /** Whether a connection from before the check has stayed open, so that no process has taken another's place. */
    private boolean isSameProcess() {
        boolean witnessed = witness != null && witness.isOpen();
        return witnessed || openConnections.get().stream().anyMatch(openBefore::contains);
    }

    private boolean hasOpenConnection() {
        return !openConnections.get().isEmpty();
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private List<ProcessExitListener> complete(boolean exited) {
        List<ProcessExitListener> listeners = List.copyOf(pending);
        pending.clear();
        openBefore = Set.of();
        listeners.forEach(each -> each.checked(exited));
        return listeners;
    }
}
