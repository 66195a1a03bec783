package org.streamring.kernel.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the bytes of all bodies that an entry keeps, and decides which body gets memory next.
 *
 * <p>A body reserves its whole size before it is read, so that half-read bodies never wait for each other. Large
 * bodies of a kind get memory in the order of their arrival; small ones do not wait for large ones. Confined to one
 * thread.
 */
public final class MemoryBudget {
    /** Bytes of requests that may wait, as a multiple of the bytes that large requests may occupy. */
    private static final long MAX_WAITING_FACTOR = 12;
    /** Longest wait of a request, after which its caller has time left to ask another entry. */
    private static final long MAX_WAIT_MILLIS = 4_000;
    /** Longest pause of an arriving body for whose memory others wait. */
    private static final long MAX_SILENCE_MILLIS = 1_000;
    /** Lowest mean rate of an arriving body for whose memory others wait. */
    private static final long MIN_BYTES_PER_MILLI = 256;

    private final MemoryLimits limits;
    private final Runnable onReleased;
    private final Set<MemoryReservation> waiting = new LinkedHashSet<>();
    private final Set<MemoryReservation> held = new LinkedHashSet<>();
    private final Map<BodyKind, Long> largeBytes = new EnumMap<>(BodyKind.class);
    private long heldBytes;
    private long waitingRequestBytes;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param onReleased called when memory was released while others wait; {@link #grantWaiting} has to follow, though
     *     not within this call
     */
    public MemoryBudget(MemoryLimits limits, Runnable onReleased) {
        this.limits = limits;
        this.onReleased = onReleased;
    }

    /** Returns the limits. */
    public MemoryLimits limits() {
        return limits;
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the number of reservations that wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /**
     * Reserves memory for a body. Refusals within this call are returned through the holder as well.
     *
     * @param bytes whole size of the body, or the largest size that it may have
     */
    public MemoryReservation reserve(BodyKind kind, long bytes, long nowMillis, MemoryReservation.Holder holder) {
        MemoryReservation created = new MemoryReservation(this, kind, bytes, nowMillis, holder);
        if (created.large() && bytes > limits.maxBytes(kind)) {
            refuse(created, MemoryRefusal.TOO_LARGE);
        } else if (fits(created) && !waitsBehindAnother(created)) {
            hold(created, nowMillis);
        } else if (queueIsFullFor(created)) {
            refuse(created, MemoryRefusal.QUEUE_FULL);
        } else {
            enqueue(created);
        }
        return created;
    }

    private boolean fits(MemoryReservation wanted) {
        if (heldBytes + wanted.bytes() > limits.capacityBytes()) {
            return false;
        }
        if (!wanted.large()) {
            return true;
        }
        long requests = largeBytes.getOrDefault(BodyKind.REQUEST, 0L);
        long all = requests + largeBytes.getOrDefault(BodyKind.ANSWER, 0L);
        boolean leavesSpaceForAnswers =
                wanted.kind() == BodyKind.ANSWER || requests + wanted.bytes() <= limits.requestBytes();
        return leavesSpaceForAnswers && all + wanted.bytes() <= limits.largeBytes();
    }

    private boolean waitsBehindAnother(MemoryReservation wanted) {
        return wanted.large() && waiting.stream().anyMatch(each -> each.large() && each.kind() == wanted.kind());
    }

    private boolean queueIsFullFor(MemoryReservation wanted) {
        return wanted.kind() == BodyKind.REQUEST
                && waitingRequestBytes + wanted.bytes() > MAX_WAITING_FACTOR * limits.requestBytes();
    }

    private void enqueue(MemoryReservation wanted) {
        waiting.add(wanted);
        if (wanted.kind() == BodyKind.REQUEST) {
            waitingRequestBytes += wanted.bytes();
        }
    }

    private void dequeue(MemoryReservation wanted) {
        if (waiting.remove(wanted) && wanted.kind() == BodyKind.REQUEST) {
            waitingRequestBytes -= wanted.bytes();
        }
    }

    private void hold(MemoryReservation granted, long nowMillis) {
        granted.hold(nowMillis);
        held.add(granted);
        count(granted, granted.bytes());
    }

    private void count(MemoryReservation counted, long bytes) {
        heldBytes += bytes;
        if (counted.large()) {
            largeBytes.merge(counted.kind(), bytes, Long::sum);
        }
    }

    /** Grants memory to the reservations that wait and now fit, in order. */
    public void grantWaiting(long nowMillis) {
        for (MemoryReservation each : List.copyOf(waiting)) {
            if (each.waiting() && fits(each) && isFirstOfItsKind(each)) {
                dequeue(each);
                hold(each, nowMillis);
                each.holder().granted();
            }
        }
    }

    private boolean isFirstOfItsKind(MemoryReservation wanted) {
        return !wanted.large()
                || waiting.stream()
                        .filter(each -> each.large() && each.kind() == wanted.kind())
                        .findFirst()
                        .filter(first -> first == wanted)
                        .isPresent();
    }

    /** Refuses the requests that have waited for too long, and those that hold memory up for them. */
    public void refuseOverdue(long nowMillis) {
        for (MemoryReservation each : List.copyOf(waiting)) {
            if (each.kind() == BodyKind.REQUEST && each.waiting() && each.waitedMillis(nowMillis) > MAX_WAIT_MILLIS) {
                refuse(each, MemoryRefusal.WAITED_TOO_LONG);
            }
        }
        if (waitingRequestBytes > 0) {
            stalledRequests(nowMillis).forEach(each -> refuse(each, MemoryRefusal.ARRIVES_TOO_SLOWLY));
        }
    }

    private List<MemoryReservation> stalledRequests(long nowMillis) {
        List<MemoryReservation> stalled = new ArrayList<>();
        for (MemoryReservation each : held) {
            if (each.kind() == BodyKind.REQUEST && each.stalled(nowMillis, MAX_SILENCE_MILLIS, MIN_BYTES_PER_MILLI)) {
                stalled.add(each);
            }
        }
        return stalled;
    }

    private void refuse(MemoryReservation refused, MemoryRefusal reason) {
        release(refused);
        refused.holder().refused(reason);
    }

    void shrink(MemoryReservation shrunk, long neededBytes) {
        if (!shrunk.held() || neededBytes >= shrunk.bytes()) {
            return;
        }
        count(shrunk, -shrunk.bytes());
        shrunk.setBytes(neededBytes);
        count(shrunk, neededBytes);
        noteReleased();
    }

    void release(MemoryReservation released) {
        boolean wasHeld = held.remove(released);
        if (wasHeld) {
            count(released, -released.bytes());
        }
        dequeue(released);
        released.end();
        if (wasHeld) {
            noteReleased();
        }
    }

    private void noteReleased() {
        if (!waiting.isEmpty()) {
            onReleased.run();
        }
    }
}
