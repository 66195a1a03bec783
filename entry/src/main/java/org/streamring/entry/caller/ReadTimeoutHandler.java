package org.streamring.entry.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.net.http.WriteProgress;

/**
 * Closes the connection of a caller that reads nothing of its answer, so that it can't hold up a stop of the entry. An
 * answer of which a part is read within the time limit is not cut. Has to be the handler next to the socket.
 */
final class ReadTimeoutHandler extends ChannelOutboundHandlerAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(ReadTimeoutHandler.class);
    private static final int CHECKS_PER_TIMEOUT = 4;

    private final Duration readTimeout;
    private final WriteProgress progress = new WriteProgress();
    private boolean checking;
    private long lastProgressNanos;

    /**
     * Creates a handler for one connection.
     *
     * @param readTimeout longest time without a byte read by the caller while a part of an answer is unread
     */
    ReadTimeoutHandler(Duration readTimeout) {
        this.readTimeout = readTimeout;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        super.write(context, message, promise);
        if (!checking) {
            checking = true;
            lastProgressNanos = System.nanoTime();
            scheduleCheck(context);
        }
    }

    private void scheduleCheck(ChannelHandlerContext context) {
        context.executor()
                .schedule(() -> check(context), readTimeout.toNanos() / CHECKS_PER_TIMEOUT, TimeUnit.NANOSECONDS);
    }

    private void check(ChannelHandlerContext context) {
        boolean progressed = progress.anySinceLastCall(context.channel());
        if (!context.channel().isOpen() || !progress.anyUnwritten()) {
            checking = false;
            return;
        }
        long now = System.nanoTime();
        if (progressed) {
            lastProgressNanos = now;
        }
        if (now - lastProgressNanos > readTimeout.toNanos()) {
            LOGGER.debug("caller_reads_nothing");
            context.close();
            return;
        }
        scheduleCheck(context);
    }
}
