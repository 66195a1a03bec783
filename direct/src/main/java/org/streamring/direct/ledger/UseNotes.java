package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.prepaid.PrepaidBook;

/**
 * While the store is silent, keeps notes at this entry's witnesses ahead of what it uses. Confined to the event loop.
 */
final class UseNotes {
    /** A note lasts for a second of demand, so that some may be lost. */
    private static final long INTERVAL_MILLIS = 200;

    private final EventLoop loop;
    private final PrepaidBook book;
    private final Witnesses witnesses;
    private final Runnable onNoted;

    UseNotes(EventLoop loop, PrepaidBook book, Witnesses witnesses, Runnable onNoted) {
        this.loop = loop;
        this.book = book;
        this.witnesses = witnesses;
        this.onNoted = onNoted;
    }

    void start() {
        loop.scheduleAtFixedRate(this::sendIfNeeded, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends a note at once, as a request waits for it. */
    void sendSoon() {
        sendIfNeeded();
    }

    private void sendIfNeeded() {
        if (!book.needsNotes()) {
            return;
        }
        Map<String, Long> tokens = book.wantedNotes();
        Set<String> named = book.witnesses().usable();
        witnesses.note(named, tokens, witness -> {
            book.noted(witness, tokens);
            onNoted.run();
        });
    }
}
