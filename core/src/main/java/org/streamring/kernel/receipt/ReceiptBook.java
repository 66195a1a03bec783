package org.streamring.kernel.receipt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.limit.RankLimit;
import org.streamring.kernel.receipt.AdmitDecision.Attach;
import org.streamring.kernel.receipt.AdmitDecision.RanBefore;
import org.streamring.kernel.receipt.AdmitDecision.Refuse;
import org.streamring.kernel.receipt.AdmitDecision.Run;
import org.streamring.model.request.RefusalReason;

/**
 * Decides, beside one backend server, whether an order runs, and remembers what ran.
 *
 * <p>The check against fenced entries and the writing of the receipt are one step under one lock. So a closer that has
 * been answered by {@link #fence} knows every attempt that was or will be forwarded for the fenced incarnation, however
 * long this process was paused in between.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class ReceiptBook {
    private final ReceiptBookSettings settings;
    private final Map<String, Receipt> receipts = new HashMap<>();
    private final Map<String, Remembered> requests = new LinkedHashMap<>();
    private final Set<String> fencedEntries = new HashSet<>();
    private final Set<String> barredAttempts = new HashSet<>();
    private int running;
    private long keptBytes;
    private boolean leaving;

    private static final class Remembered {
        private final String attempt;
        private final String bodyHash;
        private final boolean repeatable;
        private State state;
        private long sinceMillis;
        private long bytes;

        private Remembered(AttemptOrder order, State state, long nowMillis) {
            this.attempt = order.attempt();
            this.bodyHash = order.bodyHash();
            this.repeatable = order.repeatable();
            this.state = state;
            this.sinceMillis = nowMillis;
        }
    }

    private enum State {
        RUNNING,
        KEPT,
        RAN,
        REFUSED
    }

    /** Creates an empty book. */
    public ReceiptBook(ReceiptBookSettings settings) {
        this.settings = settings;
    }

    /** Decides on an order. */
    public synchronized AdmitDecision admit(AttemptOrder order, long nowMillis) {
        if (fencedEntries.contains(order.entryIncarnation()) || barredAttempts.contains(order.attempt())) {
            return new Refuse(RefusalReason.FENCED);
        }
        if (receipts.containsKey(order.attempt())) {
            return new Refuse(RefusalReason.WRONG_INCARNATION);
        }
        Remembered known = requests.get(order.requestKey());
        if (known != null) {
            return decideOnKnown(order, known);
        }
        if (leaving) {
            return refuse(order, RefusalReason.LEAVING, nowMillis);
        }
        boolean full = running >= RankLimit.of(settings.maxRunning(), order.rank())
                || requests.size() >= settings.maxRemembered();
        if (full) {
            return refuse(order, RefusalReason.OVERLOAD, nowMillis);
        }
        running++;
        requests.put(order.requestKey(), new Remembered(order, State.RUNNING, nowMillis));
        receipts.put(order.attempt(), receiptFor(order));
        return new Run();
    }

    private static AdmitDecision decideOnKnown(AttemptOrder order, Remembered known) {
        if (!known.bodyHash.equals(order.bodyHash())) {
            return new Refuse(RefusalReason.KEY_REUSED);
        }
        return switch (known.state) {
            case RUNNING, KEPT -> new Attach(known.attempt);
            case RAN -> new RanBefore();
            case REFUSED -> new Refuse(RefusalReason.OVERLOAD);
        };
    }

    /** Once refused, a not repeatable request is never run here: its entry may since have sent it elsewhere. */
    private AdmitDecision refuse(AttemptOrder order, RefusalReason reason, long nowMillis) {
        if (!order.repeatable()) {
            requests.put(order.requestKey(), new Remembered(order, State.REFUSED, nowMillis));
        }
        return new Refuse(reason);
    }

    private static Receipt receiptFor(AttemptOrder order) {
        return new Receipt(
                order.attempt(),
                order.requestKey(),
                order.account(),
                order.budget(),
                order.leaseId(),
                order.service(),
                order.reserved(),
                Usage.NONE,
                false);
    }

    /**
     * Notes that a repeatable attempt broke off through no fault of its caller: nothing is charged, and the request may
     * be asked for again.
     */
    public synchronized void brokeOff(AttemptOrder order, long nowMillis) {
        end(order, Usage.NONE, 0, nowMillis);
        requests.remove(order.requestKey());
    }

    /**
     * Notes that a running attempt ended.
     *
     * @param usage what it used; never counted above its reservation
     * @param keptBytes size of its kept answer; 0 if none is kept
     */
    public synchronized void end(AttemptOrder order, Usage usage, long keptBytes, long nowMillis) {
        Receipt receipt = receipts.get(order.attempt());
        if (receipt == null || receipt.ended()) {
            return;
        }
        running--;
        Receipt ended = new Receipt(
                receipt.attempt(),
                receipt.requestKey(),
                receipt.account(),
                receipt.budget(),
                receipt.leaseId(),
                receipt.service(),
                receipt.reserved(),
                usage,
                true);
        if (order.reserved() > 0) {
            receipts.put(order.attempt(), ended);
        } else {
            // Nothing is paid for it, so nobody will ask or acknowledge.
            receipts.remove(order.attempt());
        }
        Remembered request = requests.get(order.requestKey());
        if (request != null) {
            remember(order, request, keptBytes, nowMillis);
        }
    }

    private void remember(AttemptOrder order, Remembered request, long bytes, long nowMillis) {
        request.sinceMillis = nowMillis;
        if (order.keepAnswer() && bytes > 0) {
            request.state = State.KEPT;
            request.bytes = bytes;
            keptBytes += bytes;
        } else if (!order.repeatable() || order.keepAnswer()) {
            request.state = State.RAN;
        } else {
            requests.remove(order.requestKey());
        }
    }

    /**
     * Takes back an admitted order that was not forwarded, for example because its backend server could not be reached
     * at all.
     */
    public synchronized void notForwarded(AttemptOrder order, long nowMillis) {
        Receipt receipt = receipts.get(order.attempt());
        if (receipt == null || receipt.ended()) {
            return;
        }
        running--;
        receipts.remove(order.attempt());
        requests.remove(order.requestKey());
        refuse(order, RefusalReason.BACKEND_UNREACHABLE, nowMillis);
    }

    /**
     * Refuses an entry's orders from now on.
     *
     * @return its receipts, of running and of ended attempts
     */
    public synchronized List<Receipt> fence(String entryIncarnation) {
        fencedEntries.add(entryIncarnation);
        return receiptsOf(entryIncarnation);
    }

    /** Receipts for leases of an entry's incarnation. */
    public synchronized List<Receipt> receiptsOf(String entryIncarnation) {
        String prefix = entryIncarnation + "/";
        return receipts.values().stream()
                .filter(receipt -> receipt.leaseId().startsWith(prefix))
                .toList();
    }

    /**
     * Receipts for single attempts. An attempt that is not known has not run here and is barred, so that an order which
     * still lies unread in a broken connection does not run after the answer was given.
     */
    public synchronized List<Receipt> receiptsFor(Collection<String> attempts) {
        List<Receipt> found = new ArrayList<>();
        for (String attempt : attempts) {
            Receipt receipt = receipts.get(attempt);
            if (receipt == null) {
                barredAttempts.add(attempt);
            } else {
                found.add(receipt);
            }
        }
        return found;
    }

    /** Forgets the receipts of leases that are settled in the table. */
    public synchronized void forgetLeases(Collection<String> leaseIds) {
        Set<String> settled = new HashSet<>(leaseIds);
        receipts.values().removeIf(receipt -> receipt.ended() && settled.contains(receipt.leaseId()));
    }

    /** Takes no new work from now on. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Takes new work again, when an operator has changed their mind. */
    public synchronized void stay() {
        leaving = false;
    }

    /** Whether no new work is taken. */
    public synchronized boolean isLeaving() {
        return leaving;
    }

    /** Attempts in progress. */
    public synchronized int running() {
        return running;
    }

    /** Number of receipts. */
    public synchronized int receiptCount() {
        return receipts.size();
    }

    /** Attempts that may be in progress at most. */
    public int capacity() {
        return settings.maxRunning();
    }

    /**
     * Drops what is over its age or over the memory for kept answers, oldest first.
     *
     * @return attempts whose kept answers are to be dropped
     */
    public synchronized List<String> expire(long nowMillis) {
        List<String> dropped = new ArrayList<>();
        Iterator<Remembered> oldest = requests.values().iterator();
        while (oldest.hasNext()) {
            Remembered request = oldest.next();
            if (request.state == State.RUNNING) {
                continue;
            }
            long age = nowMillis - request.sinceMillis;
            boolean overMemory = keptBytes > settings.answerBytes();
            if (request.state == State.KEPT
                    && (overMemory || age > settings.answerRetention().toMillis())) {
                keptBytes -= request.bytes;
                request.state = State.RAN;
                dropped.add(request.attempt);
            }
            boolean longAgo = age > settings.onceRetention().toMillis();
            boolean forgettable =
                    request.repeatable && age > settings.answerRetention().toMillis();
            if (request.state != State.KEPT && (longAgo || forgettable)) {
                oldest.remove();
            }
        }
        return dropped;
    }

    /** The attempt that runs or ran a request, if it is remembered; for tests and inspection. */
    public synchronized @Nullable Receipt receipt(String attempt) {
        return receipts.get(attempt);
    }
}
