package org.streamring.direct.backend;

import org.streamring.kernel.availability.BackendNotice;

/** Hears what a backend server says of itself in its answers, whichever request they belong to. */
public interface NoticeListener {
    /** Called for the head of each answer, before what its request makes of it. */
    void answered(int status, BackendNotice notice);
}
