package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.prepaid.PrepaidLedger;

/**
 * During a store outage, records tokens at this entry's witnesses before the entry uses them. Confined to the event
 * loop.
 */
final class UsageRecorder {
    /** Each record covers the demand of one second, so that some of them may be lost. */
    private static final long SEND_INTERVAL_MILLIS = 200;

    private final EventLoop loop;
    private final PrepaidLedger ledger;
    private final Witnesses witnesses;
    private final Runnable onRecorded;

    UsageRecorder(EventLoop loop, PrepaidLedger ledger, Witnesses witnesses, Runnable onRecorded) {
        this.loop = loop;
        this.ledger = ledger;
        this.witnesses = witnesses;
        this.onRecorded = onRecorded;
    }

    void start() {
        loop.scheduleAtFixedRate(this::sendIfNeeded, SEND_INTERVAL_MILLIS, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends a usage record at once, because a request waits for it. */
    void sendNow() {
        sendIfNeeded();
    }

    private void sendIfNeeded() {
        if (!ledger.needsUsageRecords()) {
            return;
        }
        Map<String, Long> tokens = ledger.tokensToRecord();
        Set<String> witnessIds = ledger.witnesses().usable();
        witnesses.note(witnessIds, tokens, witness -> {
            ledger.addRecordedByWitness(witness, tokens);
            onRecorded.run();
        });
    }
}
