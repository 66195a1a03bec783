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
 * Commits claims on a thread of its own. Claims that come while a transaction is under way go together into the next
 * one. A claim whose transaction got no answer fails at once: nothing was forwarded for it, so its request was not run.
 */
public final class ClaimCommitter {
    private static final int MAX_BATCH = Transaction.MAX_OPERATIONS;
    private static final int MAX_QUEUE = 1000;
    private static final int TRIES = 2;

    private final PlatformTable table;
    private final String idPrefix;
    private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>(MAX_QUEUE);
    private final AtomicLong counter = new AtomicLong();
    private final Thread thread;

    private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

    /**
     * Starts the thread.
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

    /** Commits a claim; the future fails if the table gave no answer. */
    public CompletableFuture<ClaimResult> commit(Claim claim) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (!queue.offer(new Pending(claim, result))) {
            result.completeExceptionally(new RejectedExecutionException("too many claims wait"));
        }
        return result;
    }

    /** Reads the claim that stands on a request, if there is one; waits for the table. */
    public Optional<ClaimResult.Bound> standing(String requestKey) throws PlatformException {
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

    /** Claims on the same request go into different batches. */
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
                pending.result().completeExceptionally(new RejectedExecutionException("too many claims wait"));
            }
        }
        return batch;
    }

    private void commitBatch(List<Pending> pending) {
        ClaimBatch batch = new ClaimBatch(
                idPrefix + ":claims:" + counter.incrementAndGet(),
                pending.stream().map(Pending::claim).toList());
        try {
            Optional<Transaction> next = batch.next();
            while (next.isPresent()) {
                batch.resolve(transact(next.get()));
                next = batch.next();
            }
        } catch (PlatformException e) {
            pending.forEach(one -> one.result().completeExceptionally(e));
            return;
        }
        pending.forEach(one -> one.result().complete(batch.result(one.claim()).orElse(new ClaimResult.Conflict())));
    }

    /** A second try with the same identifiers finds out whether the first one took effect. */
    private org.streamring.kernel.table.TransactionResult transact(Transaction transaction) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                return table.transact(transaction);
            } catch (PlatformException e) {
                if (attempt == TRIES) {
                    throw e;
                }
            }
        }
    }

    /** Ends the thread. */
    public void close() {
        thread.interrupt();
    }
}
