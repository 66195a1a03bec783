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
 * Receipt store of the sidecar of one backend server. It decides whether an order is run and keeps the receipts of the
 * attempts that ran.
 *
 * <p>The check for fenced entries and the writing of the receipt are one step under one lock. So the result of
 * {@link #fence} contains every attempt that was or will be forwarded for the fenced incarnation, even if this process
 * was paused in between for any length of time.
 *
 * <p>Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class ReceiptStore {
    private final ReceiptBookSettings settings;
    private final Map<String, Receipt> receipts = new HashMap<>();
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final Set<String> fencedEntries = new HashSet<>();
    private final Set<String> barredAttempts = new HashSet<>();
    private int running;
    private long keptBytes;
    private boolean shuttingDown;

    private static final class RequestState {
        private final String attempt;
        private final String bodyHash;
        private final boolean repeatable;
        private Phase phase;
        private long changedMillis;
        private long bytes;

        private RequestState(AttemptOrder order, Phase phase, long nowMillis) {
            this.attempt = order.attempt();
            this.bodyHash = order.bodyHash();
            this.repeatable = order.repeatable();
            this.phase = phase;
            this.changedMillis = nowMillis;
        }
    }

    private enum Phase {
        RUNNING,
        KEPT,
        RAN,
        REFUSED
    }

    /** Creates an empty receipt store. */
    public ReceiptStore(ReceiptBookSettings settings) {
        this.settings = settings;
    }

    /** Decides whether an order is run, and if so, writes its receipt. */
    public synchronized AdmitDecision admit(AttemptOrder order, long nowMillis) {
        if (fencedEntries.contains(order.entryIncarnation()) || barredAttempts.contains(order.attempt())) {
            return new Refuse(RefusalReason.FENCED);
        }
        if (receipts.containsKey(order.attempt())) {
            return new Refuse(RefusalReason.WRONG_INCARNATION);
        }
        RequestState recorded = requests.get(order.requestKey());
        if (recorded != null) {
            return decideOnRecorded(order, recorded);
        }
        if (shuttingDown) {
            return refuse(order, RefusalReason.LEAVING, nowMillis);
        }
        boolean noCapacity = running >= RankLimit.of(settings.maxRunning(), order.rank())
                || requests.size() >= settings.maxRecordedRequests();
        if (noCapacity) {
            return refuse(order, RefusalReason.OVERLOAD, nowMillis);
        }
        running++;
        requests.put(order.requestKey(), new RequestState(order, Phase.RUNNING, nowMillis));
        receipts.put(order.attempt(), newReceipt(order));
        return new Run();
    }

    private static AdmitDecision decideOnRecorded(AttemptOrder order, RequestState recorded) {
        if (!recorded.bodyHash.equals(order.bodyHash())) {
            return new Refuse(RefusalReason.KEY_REUSED);
        }
        return switch (recorded.phase) {
            case RUNNING, KEPT -> new Attach(recorded.attempt);
            case RAN -> new RanBefore();
            case REFUSED -> new Refuse(RefusalReason.OVERLOAD);
        };
    }

    /**
     * Refuses an order. If its request is not repeatable, later orders for it are refused as well, because its entry
     * may have sent it to another sidecar in the meantime.
     */
    private AdmitDecision refuse(AttemptOrder order, RefusalReason reason, long nowMillis) {
        if (!order.repeatable()) {
            requests.put(order.requestKey(), new RequestState(order, Phase.REFUSED, nowMillis));
        }
        return new Refuse(reason);
    }

    private static Receipt newReceipt(AttemptOrder order) {
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
     * Ends a repeatable attempt that failed through no fault of its caller. No tokens are charged, and the request may
     * run again.
     */
    public synchronized void endWithoutCharge(AttemptOrder order, long nowMillis) {
        end(order, Usage.NONE, 0, nowMillis);
        requests.remove(order.requestKey());
    }

    /**
     * Records the end of a running attempt.
     *
     * @param usage usage of the attempt, at most its reservation
     * @param keptBytes size of the kept answer in bytes; 0 if no answer is kept
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
            // No tokens are charged for this attempt, so its receipt will neither be queried nor acknowledged.
            receipts.remove(order.attempt());
        }
        RequestState request = requests.get(order.requestKey());
        if (request != null) {
            updateRequest(order, request, keptBytes, nowMillis);
        }
    }

    private void updateRequest(AttemptOrder order, RequestState request, long bytes, long nowMillis) {
        request.changedMillis = nowMillis;
        if (order.keepAnswer() && bytes > 0) {
            request.phase = Phase.KEPT;
            request.bytes = bytes;
            keptBytes += bytes;
        } else if (!order.repeatable() || order.keepAnswer()) {
            request.phase = Phase.RAN;
        } else {
            requests.remove(order.requestKey());
        }
    }

    /** Withdraws an admitted order that was not forwarded, for example because its backend server was unreachable. */
    public synchronized void withdraw(AttemptOrder order, long nowMillis) {
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
     * Refuses all further orders of an entry's incarnation.
     *
     * @return the receipts of its running and ended attempts
     */
    public synchronized List<Receipt> fence(String entryIncarnation) {
        fencedEntries.add(entryIncarnation);
        return receiptsOf(entryIncarnation);
    }

    /** Returns the receipts for the leases of an entry's incarnation. */
    public synchronized List<Receipt> receiptsOf(String entryIncarnation) {
        String prefix = entryIncarnation + "/";
        return receipts.values().stream()
                .filter(receipt -> receipt.leaseId().startsWith(prefix))
                .toList();
    }

    /**
     * Returns the receipts of single attempts. An attempt without a receipt has not run here. It is barred, so that an
     * order that is still unread in a broken connection does not run after this answer was given.
     */
    public synchronized List<Receipt> queryOrBar(Collection<String> attempts) {
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

    /** Removes the receipts of ended attempts whose leases are settled in the table. */
    public synchronized void removeSettledReceipts(Collection<String> leaseIds) {
        Set<String> settled = new HashSet<>(leaseIds);
        receipts.values().removeIf(receipt -> receipt.ended() && settled.contains(receipt.leaseId()));
    }

    /** Refuses new attempts from now on, because the backend server is shutting down. */
    public synchronized void refuseNewAttempts() {
        shuttingDown = true;
    }

    /** Accepts new attempts again after an operator has revoked the shutdown. */
    public synchronized void acceptNewAttempts() {
        shuttingDown = false;
    }

    /** Returns whether new attempts are refused because the backend server is shutting down. */
    public synchronized boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Returns the number of attempts in progress. */
    public synchronized int running() {
        return running;
    }

    /** Returns the number of receipts. */
    public synchronized int receiptCount() {
        return receipts.size();
    }

    /** Returns the maximum number of concurrent attempts of the most urgent rank. */
    public int capacity() {
        return settings.maxRunning();
    }

    /**
     * Removes requests that have exceeded their retention period, and kept answers that exceed the memory limit, oldest
     * first.
     *
     * @return attempts whose kept answers the caller has to delete
     */
    public synchronized List<String> expire(long nowMillis) {
        List<String> dropped = new ArrayList<>();
        Iterator<RequestState> oldestFirst = requests.values().iterator();
        while (oldestFirst.hasNext()) {
            RequestState request = oldestFirst.next();
            if (request.phase == Phase.RUNNING) {
                continue;
            }
            long age = nowMillis - request.changedMillis;
            boolean overMemory = keptBytes > settings.answerBytes();
            if (request.phase == Phase.KEPT
                    && (overMemory || age > settings.answerRetention().toMillis())) {
                keptBytes -= request.bytes;
                request.phase = Phase.RAN;
                dropped.add(request.attempt);
            }
            boolean onceRetentionOver = age > settings.nonRepeatableRetention().toMillis();
            boolean answerRetentionOver =
                    request.repeatable && age > settings.answerRetention().toMillis();
            if (request.phase != Phase.KEPT && (onceRetentionOver || answerRetentionOver)) {
                oldestFirst.remove();
            }
        }
        return dropped;
    }

    /** Returns the receipt of an attempt, if there is one; for tests and inspection. */
    public synchronized @Nullable Receipt receipt(String attempt) {
        return receipts.get(attempt);
    }
}
