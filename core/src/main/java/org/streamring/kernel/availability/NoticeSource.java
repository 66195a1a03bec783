package org.streamring.kernel.availability;

/** By what an entry learned that a backend server leaves. */
public enum NoticeSource {
    /** Its entry in the list says so, or did. */
    ROW,
    /** One of its answers said so. */
    ANSWER
}
