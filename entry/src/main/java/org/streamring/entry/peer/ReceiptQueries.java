package org.streamring.entry.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.receipt.Usage;
import org.streamring.net.generated.Wire.FenceQuery;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.ReceiptQuery;
import org.streamring.net.generated.Wire.ReceiptRecord;
import org.streamring.net.generated.Wire.ReceiptReply;
import org.streamring.net.peer.PeerConnection;

/** Queries for receipts that were sent to sidecars. A query is cancelled if its connection is lost. */
final class ReceiptQueries {
    private final Map<Long, PendingQuery> queries = new ConcurrentHashMap<>();
    private final AtomicLong queryCounter = new AtomicLong();

    private record PendingQuery(PeerConnection connection, CompletableFuture<List<Receipt>> answer) {}

    CompletableFuture<List<Receipt>> fence(Optional<PeerConnection> sidecar, String entryIncarnation) {
        return sendQuery(sidecar, query -> Frame.newBuilder()
                .setFenceQuery(FenceQuery.newBuilder().setQuery(query).setEntryIncarnation(entryIncarnation))
                .build());
    }

    CompletableFuture<List<Receipt>> receipts(Optional<PeerConnection> sidecar, Collection<String> attempts) {
        return sendQuery(sidecar, query -> Frame.newBuilder()
                .setReceiptQuery(ReceiptQuery.newBuilder().setQuery(query).addAllAttempts(attempts))
                .build());
    }

    private CompletableFuture<List<Receipt>> sendQuery(Optional<PeerConnection> sidecar, LongFunction<Frame> toFrame) {
        CompletableFuture<List<Receipt>> answer = new CompletableFuture<>();
        if (sidecar.isEmpty()) {
            answer.cancel(false);
            return answer;
        }
        long query = queryCounter.incrementAndGet();
        queries.put(query, new PendingQuery(sidecar.get(), answer));
        if (!sidecar.get().send(toFrame.apply(query))) {
            queries.remove(query);
            answer.cancel(false);
        }
        return answer;
    }

    /** Completes the query that an answer belongs to; returns false if there is no such query. */
    boolean complete(ReceiptReply reply) {
        PendingQuery pending = queries.remove(reply.getQuery());
        if (pending == null) {
            return false;
        }
        pending.answer()
                .complete(reply.getReceiptsList().stream()
                        .map(ReceiptQueries::toReceipt)
                        .toList());
        return true;
    }

    void connectionLost(PeerConnection lost) {
        queries.forEach((query, pending) -> {
            if (pending.connection() == lost && queries.remove(query, pending)) {
                pending.answer().cancel(false);
            }
        });
    }

    private static Receipt toReceipt(ReceiptRecord record) {
        return new Receipt(
                record.getAttempt(),
                record.getRequestKey(),
                record.getAccount(),
                record.getBudget(),
                record.getLeaseId(),
                record.getService(),
                record.getReservedTokens(),
                new Usage(record.getPromptTokens(), record.getAnswerTokens(), record.getTokens()),
                record.getEnded());
    }
}
