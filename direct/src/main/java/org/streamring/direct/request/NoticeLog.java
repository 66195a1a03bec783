package org.streamring.direct.request;

import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.registry.BackendInstance;

/** Logs what backend servers say of themselves in their answers. */
public final class NoticeLog {
    private final DecisionLog log;

    /** Creates one. */
    public NoticeLog(DecisionLog log) {
        this.log = log;
    }

    void answered(BackendInstance instance, int status, BackendNotice notice) {
        if (notice.equals(BackendNotice.NONE)) {
            return;
        }
        log.line(
                "backend_notice",
                "backend",
                instance.incarnation(),
                "status",
                status,
                "leaving",
                notice.leaving(),
                "rest_ms",
                notice.restMillis());
    }
}
