package org.streamring.direct.backend;

/** Receives what a backend server sent that is no part of a sound answer. */
public interface AnswerDefectListener {
    /**
     * Called for a head that was read from two answers.
     *
     * @param request identifier of the request in progress
     * @param detail what shows that there are two
     */
    void onMergedHead(String request, String detail);

    /** Called for bytes that belong to no request. */
    void onStrayBytes(StrayBytes stray);
}
