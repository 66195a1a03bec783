package org.streamring.entry.once;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.streamring.kernel.once.Claim;
import org.streamring.kernel.once.ClaimBatch;
import org.streamring.kernel.once.ClaimRecord;
import org.streamring.kernel.once.ClaimResult;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/**
 * Commits claims in batches on its own thread. Claims that are added during a transaction are combined into the next
 * one. If the table does not answer a transaction, its claims fail immediately: nothing was forwarded for them, so
 * their requests were not run.
 */
public final class ClaimCommitter {
    private static final int MAX_BATCH = Transaction.MAX_OPERATIONS;
    private static final int MAX_QUEUE = 1000;
    private static final int MAX_TRIES = 2;

    private final PlatformTable table;
    private final String idPrefix;
    private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>(MAX_QUEUE);
    private final AtomicLong transactionCounter = new AtomicLong();
    private final Thread thread;

    private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

    /**
     * Creates a committer and starts its thread.
     *
     * @param idPrefix unique prefix for transaction identifiers
     */
    public ClaimCommitter(PlatformTable table, String idPrefix) {
        this.table = table;
        this.idPrefix = idPrefix;
        this.thread = new Thread(this::run, "claims");
        this.thread.setDaemon(true);
        this.thread.start();
    }

    /** Commits a claim. The returned future fails if the table did not answer or too many claims are queued. */
    public CompletableFuture<ClaimResult> commit(Claim claim) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (!queue.offer(new Pending(claim, result))) {
            result.completeExceptionally(new RejectedExecutionException("too many claims are queued"));
        }
        return result;
    }

    /** Reads the existing claim on a request; empty if there is none. Blocks until the table answers. */
    public Optional<ClaimResult.Bound> existingClaim(String requestKey) throws PlatformException {
        return table.read(List.of(RowKeys.claim(requestKey))).stream()
                .findFirst()
                .map(row -> new ClaimResult.Bound(row, RowText.read(row.text(), ClaimRecord.class)));
    }

    private void run() {
        try {
            while (true) {
                commitBatch(nextBatch());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the claims of the next batch, at least one. Claims on the same request go into different batches. */
    private List<Pending> nextBatch() throws InterruptedException {
        List<Pending> candidates = new ArrayList<>();
        candidates.add(queue.take());
        queue.drainTo(candidates, MAX_BATCH - 1);
        Set<String> keys = new HashSet<>();
        List<Pending> batch = new ArrayList<>();
        for (Pending pending : candidates) {
            if (keys.add(pending.claim().rowKey())) {
                batch.add(pending);
            } else if (!queue.offer(pending)) {
                pending.result().completeExceptionally(new RejectedExecutionException("too many claims are queued"));
            }
        }
        return batch;
    }

    private void commitBatch(List<Pending> pending) {
        ClaimBatch batch = new ClaimBatch(
                idPrefix + ":claims:" + transactionCounter.incrementAndGet(),
                pending.stream().map(Pending::claim).toList());
        try {
            Optional<Transaction> next = batch.next();
            while (next.isPresent()) {
                batch.resolve(transact(next.get()));
                next = batch.next();
            }
        } catch (PlatformException e) {
            pending.forEach(entry -> entry.result().completeExceptionally(e));
            return;
        }
        pending.forEach(
                entry -> entry.result().complete(batch.result(entry.claim()).orElse(new ClaimResult.Conflict())));
    }

    /**
     * Applies a transaction and retries it once if the table does not answer. The retry uses the same identifier, so
     * that it returns the result of the first try if that took effect.
     */
    private org.streamring.kernel.table.TransactionResult transact(Transaction transaction) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                return table.transact(transaction);
            } catch (PlatformException e) {
                if (attempt == MAX_TRIES) {
                    throw e;
                }
            }
        }
    }

    /** Stops the thread. */
    public void close() {
        thread.interrupt();
    }
}
