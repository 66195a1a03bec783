package org.streamring.direct.backend;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether a process that was found at the address of a server had replaced another one, of which all connections
 * had ended. The row of a process that restarts arrives some time after it accepts connections. A connection to it
 * stays open meanwhile; one to the process before would end before another one can be listed. Confined to the event
 * loop.
 */
final class ReplacementWitness {
    private static final long POLL_MILLIS = 100;
    /** A process that starts is listed within a few seconds. */
    private static final int MAX_POLLS = 50;

    private final EventLoop loop;
    private final Channel connection;
    private final List<ProcessExitListener> listeners;
    private int polls;

    private ReplacementWitness(EventLoop loop, Channel connection, List<ProcessExitListener> listeners) {
        this.loop = loop;
        this.connection = connection;
        this.listeners = listeners;
    }

    /** Keeps a connection to a process open until it is known whether the process had replaced another one. */
    static ReplacementWitness start(EventLoop loop, Channel connection, List<ProcessExitListener> listeners) {
        ReplacementWitness witness = new ReplacementWitness(loop, connection, listeners);
        witness.poll();
        return witness;
    }

    /** Whether the process that was found is still the one at the address. */
    boolean isOpen() {
        return connection.isActive();
    }

    private void poll() {
        if (!connection.isActive()) {
            return;
        }
        List<ProcessExitListener> replaced =
                listeners.stream().filter(ProcessExitListener::isReplaced).toList();
        polls++;
        if (replaced.isEmpty() && polls < MAX_POLLS) {
            loop.schedule(this::poll, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        connection.close();
        replaced.forEach(ProcessExitListener::foundReplaced);
        replaced.forEach(each -> each.checked(true));
    }
}
