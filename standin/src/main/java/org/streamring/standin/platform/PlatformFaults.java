package org.streamring.standin.platform;

/**
 * Faults of the stand-in platform.
 *
 * @param down whether calls get no response and have no effect
 * @param delayMillis delay before each call is executed
 * @param loseEvery n if each n-th transaction is executed but gets no response; 0 for none
 * @param objectsDown whether calls to the object store get no response and have no effect
 * @param lateMillis delay before a transaction that gets no response is executed
 */
public record PlatformFaults(boolean down, long delayMillis, int loseEvery, boolean objectsDown, long lateMillis) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0);
}
