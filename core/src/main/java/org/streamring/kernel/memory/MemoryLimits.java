package org.streamring.kernel.memory;

/**
 * Limits on the bytes that bodies may occupy in the memory of an entry.
 *
 * <p>Requests keep their bodies while they wait for their answers. So that these answers always find space, requests
 * may not occupy all of it, and small bodies have a part of their own.
 *
 * @param capacityBytes bytes of all bodies together
 */
public record MemoryLimits(long capacityBytes) {
    /** Largest size in bytes of a body that counts as small. */
    public static final long SMALL_BYTES = 65_536;

    /** Largest share of the heap that bodies may occupy. */
    private static final double SHARE_OF_HEAP = 0.5;

    /** Returns the limits of a process whose heap may grow to this size. */
    public static MemoryLimits ofHeap(long maxHeapBytes) {
        return new MemoryLimits((long) (SHARE_OF_HEAP * maxHeapBytes));
    }

    /** Returns the bytes that large bodies of requests may occupy. */
    long requestBytes() {
        return capacityBytes / 2;
    }

    /** Returns the bytes that large bodies of requests and answers may occupy together. */
    long largeBytes() {
        return capacityBytes - capacityBytes / 8;
    }

    /** Returns the size in bytes of the largest body that may be kept. */
    public long maxBytes(BodyKind kind) {
        return kind == BodyKind.REQUEST ? requestBytes() : largeBytes() - requestBytes();
    }
}
