package org.streamring.kernel.availability;

/**
 * What one answer of a backend server says of the server itself.
 *
 * @param leaving whether it leaves, so that it takes nothing new
 * @param restMillis how long it wants nothing from this entry, in milliseconds from the answer on; 0 if it didn't ask
 */
public record BackendNotice(boolean leaving, long restMillis) {
    /** It says nothing of itself. */
    public static final BackendNotice NONE = new BackendNotice(false, 0);
}
