package org.streamring.direct.request;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.kernel.memory.BodyKind;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.kernel.memory.MemoryRefusal;
import org.streamring.kernel.memory.MemoryReservation;

/**
 * Memory of one answer: of its whole body, or of the event of a stream that has not arrived whole. While there is none,
 * the answer is not read any further. Confined to the event loop.
 */
final class AnswerMemory {
    /** Largest event of a stream. */
    static final long MAX_EVENT_BYTES = 1_048_576;

    private final BodyMemory memory;
    private final String request;
    private final Reading reading;
    private final List<MemoryReservation> reservations = new ArrayList<>();
    private long expectedBytes = -1;
    private boolean refused;

    /** Pauses or resumes reading the answer. */
    interface Reading {
        void pause(boolean paused);
    }

    AnswerMemory(BodyMemory memory, String request, Reading reading) {
        this.memory = memory;
        this.request = request;
        this.reading = reading;
    }

    /**
     * Reserves memory for a body that is to arrive, and returns whether it may be read.
     *
     * @param length length in bytes; empty if the head does not tell
     */
    boolean expect(OptionalLong length) {
        expectedBytes = length.orElse(-1);
        reserve(length.orElse(MemoryLimits.SMALL_BYTES));
        return !refused;
    }

    /** Returns whether the body may have grown to this size in bytes. */
    boolean admits(long bytes) {
        if (expectedBytes >= 0) {
            return bytes <= expectedBytes;
        }
        return admitsUpTo(memory.maxBytes(BodyKind.ANSWER), bytes);
    }

    /** Returns whether an event that has not arrived whole may have grown to this size in bytes. */
    boolean admitsEvent(int bytes) {
        if (bytes <= MemoryLimits.SMALL_BYTES) {
            release();
            return true;
        }
        return admitsUpTo(MAX_EVENT_BYTES, bytes);
    }

    private boolean admitsUpTo(long maxBytes, long bytes) {
        boolean maxReserved = reservations.stream().anyMatch(each -> each.isFor(maxBytes));
        if (bytes > MemoryLimits.SMALL_BYTES && !maxReserved) {
            reserve(maxBytes);
        }
        return bytes <= maxBytes && !refused;
    }

    private void reserve(long bytes) {
        MemoryReservation reservation = memory.reserve(BodyKind.ANSWER, bytes, request, new MemoryReservation.Holder() {
            @Override
            public void granted() {
                reading.pause(false);
            }

            @Override
            public void refused(MemoryRefusal reason) {
                refused = true;
            }
        });
        reservations.add(reservation);
        if (reservation.waiting()) {
            reading.pause(true);
        }
    }

    /** Gives back what a body that has arrived whole does not need. */
    void whole(long bytes) {
        boolean kept = false;
        for (MemoryReservation each : reservations) {
            if (!kept && each.holds(bytes)) {
                each.wholeWith(bytes);
                kept = true;
            } else {
                each.release();
            }
        }
    }

    /** Gives back all memory. */
    void release() {
        boolean waited = reservations.stream().anyMatch(MemoryReservation::waiting);
        reservations.forEach(MemoryReservation::release);
        reservations.clear();
        if (waited) {
            reading.pause(false);
        }
    }
}
