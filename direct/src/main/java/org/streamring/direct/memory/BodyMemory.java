package org.streamring.direct.memory;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.memory.BodyKind;
import org.streamring.kernel.memory.MemoryBudget;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.kernel.memory.MemoryRefusal;
import org.streamring.kernel.memory.MemoryReservation;

/**
 * Memory of this entry for bodies of requests and answers. Grants what was released on the next turn of the event loop,
 * and logs and counts each refusal. Confined to the event loop.
 */
public final class BodyMemory {
    private final EventLoop loop;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final MemoryBudget budget;
    private boolean grantScheduled;

    /**
     * Creates a memory of which nothing is held.
     *
     * @param clock monotonic clock in milliseconds
     */
    public BodyMemory(EventLoop loop, LongSupplier clock, MemoryLimits limits, EntryMetrics metrics, DecisionLog log) {
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.budget = new MemoryBudget(limits, this::scheduleGrant);
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return budget.heldBytes();
    }

    /** Returns the number of bodies that wait for memory. */
    public int waitingCount() {
        return budget.waitingCount();
    }

    /** Returns the size in bytes of the largest body that may be kept. */
    public long maxBytes(BodyKind kind) {
        return budget.limits().maxBytes(kind);
    }

    /**
     * Reserves memory for a body.
     *
     * @param bytes whole size of the body, or the largest size that it may have
     * @param request identifier of the request, for the log
     */
    public MemoryReservation reserve(BodyKind kind, long bytes, String request, MemoryReservation.Holder holder) {
        return budget.reserve(kind, bytes, clock.getAsLong(), new MemoryReservation.Holder() {
            @Override
            public void granted() {
                holder.granted();
            }

            @Override
            public void refused(MemoryRefusal reason) {
                noteRefused(kind, bytes, request, reason);
                holder.refused(reason);
            }
        });
    }

    /** Refuses bodies that have waited or are arriving for too long. Has to be called regularly. */
    public void refuseOverdue() {
        budget.refuseOverdue(clock.getAsLong());
    }

    private void scheduleGrant() {
        if (!grantScheduled) {
            grantScheduled = true;
            loop.execute(this::grant);
        }
    }

    private void grant() {
        grantScheduled = false;
        budget.grantWaiting(clock.getAsLong());
    }

    private void noteRefused(BodyKind kind, long bytes, String request, MemoryRefusal reason) {
        metrics.memoryRefused(kind.name(), reason.name());
        log.line(
                "memory_refused",
                "request",
                request,
                "body",
                kind,
                "bytes",
                bytes,
                "reason",
                reason,
                "held_bytes",
                budget.heldBytes(),
                "capacity_bytes",
                budget.limits().capacityBytes(),
                "waiting",
                budget.waitingCount());
    }
}
