package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.Silence;

/**
 * Checks regularly whether an attempt is silent. Confined to the event loop.
 *
 * <p>An event loop that was held up runs its timers before it reads what has arrived in the meantime. A silence is
 * therefore reported only if it is found again after all connections were read once more.
 */
final class SilenceCheck {
    private static final long INTERVAL_MILLIS = 200;
    /** A timer that is set while others run fires after the event loop has read its connections. */
    private static final long CONFIRMATION_DELAY_MILLIS = 1;

    private final EventLoop loop;
    private final Supplier<Silence> state;
    private final Consumer<Silence> onChecked;
    private @Nullable Future<?> timer;
    private boolean stopped;

    /**
     * Creates a check that is not started.
     *
     * @param onChecked receives the result of each check
     */
    SilenceCheck(EventLoop loop, Supplier<Silence> state, Consumer<Silence> onChecked) {
        this.loop = loop;
        this.state = state;
        this.onChecked = onChecked;
    }

    /** Starts the check; has no effect after {@link #stop}. */
    void start() {
        if (!stopped) {
            timer = loop.scheduleAtFixedRate(this::check, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    void stop() {
        stopped = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check() {
        if (state.get() == Silence.NONE) {
            onChecked.accept(Silence.NONE);
        } else {
            loop.schedule(this::confirm, CONFIRMATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void confirm() {
        if (!stopped) {
            onChecked.accept(state.get());
        }
    }
}
