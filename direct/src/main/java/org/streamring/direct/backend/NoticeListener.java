package org.streamring.direct.backend;

import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.permit.LimitWord;

/** Receives the notices that a backend server sends about itself in its answers, whichever request they belong to. */
public interface NoticeListener {
    /**
     * Called for the head of each answer, before the listener of the attempt is called.
     *
     * @param limit limit that the server announces for the requests of all entries together
     * @param sentMillis when the request of the answer was sent; 0 if that is not known
     */
    void onAnswerHead(int status, BackendNotice notice, LimitWord limit, long sentMillis);
}
