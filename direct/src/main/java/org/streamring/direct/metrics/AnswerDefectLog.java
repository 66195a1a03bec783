package org.streamring.direct.metrics;

import org.streamring.direct.backend.AnswerDefectListener;
import org.streamring.direct.backend.StrayBytes;
import org.streamring.direct.log.DecisionLog;

/** Logs and counts what a backend server sent that is no part of a sound answer. */
public final class AnswerDefectLog implements AnswerDefectListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final String replica;

    /**
     * Creates the log of one backend server.
     *
     * @param replica identifier of the server
     */
    public AnswerDefectLog(DecisionLog log, EntryMetrics metrics, String replica) {
        this.log = log;
        this.metrics = metrics;
        this.replica = replica;
    }

    @Override
    public void onMergedHead(String request, String detail) {
        metrics.mergedHead();
        log.line("merged_head", "request", request, "replica", replica, "detail", detail);
    }

    @Override
    public void onStrayBytes(StrayBytes stray) {
        metrics.strayBytes(stray.place().name(), stray.bytes());
        log.line(
                "stray_bytes",
                "request",
                stray.request(),
                "replica",
                replica,
                "place",
                stray.place(),
                "bytes",
                stray.bytes(),
                "answer_id",
                stray.answerId());
    }
}
