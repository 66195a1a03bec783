package org.streamring.standin.platform;

/**
 * Faults of the stand-in platform.
 *
 * @param down whether nothing is answered and nothing takes effect
 * @param delayMillis wait before each call takes effect
 * @param loseEvery every n-th transaction takes effect, but its answer is lost; 0 for none
 * @param objectsDown whether only the object store is down
 * @param lateMillis every lost transaction takes effect only after this time
 */
public record PlatformFaults(boolean down, long delayMillis, int loseEvery, boolean objectsDown, long lateMillis) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0);
}
