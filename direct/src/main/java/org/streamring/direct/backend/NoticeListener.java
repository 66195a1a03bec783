package org.streamring.direct.backend;

import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.permit.LimitWord;

/** Hears what a backend server says of itself in its answers, whichever request they belong to. */
public interface NoticeListener {
    /**
     * Called for the head of each answer, before what its request makes of it.
     *
     * @param limit what the server says of the requests that it takes from all entries together
     * @param sentMillis when the answer's request was sent; 0 if that is not known
     */
    void answered(int status, BackendNotice notice, LimitWord limit, long sentMillis);
}
