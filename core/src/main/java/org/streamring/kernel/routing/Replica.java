package org.streamring.kernel.routing;

import java.time.Duration;
import org.streamring.model.box.BackendServer;

/** What an entry knows of one replica. Guarded by {@link ReplicaTable}. */
final class Replica {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MILLIS = Duration.ofSeconds(2).toMillis();
    private static final long LONGEST_EJECTION_MILLIS = Duration.ofSeconds(60).toMillis();

    private BackendServer server;
    private String incarnation = "";
    private LoadReport report = LoadReport.NONE;
    private int ownRunning;
    private int ownRunningAtReport;
    private int failuresInRow;
    private long ejectedUntilMillis;
    private long ejectionMillis;
    private boolean trial;

    Replica(BackendServer server) {
        this.server = server;
    }

    BackendServer server() {
        return server;
    }

    void relist(BackendServer newServer) {
        server = newServer;
    }

    String incarnation() {
        return incarnation;
    }

    void connected(String newIncarnation) {
        incarnation = newIncarnation;
        report = LoadReport.NONE;
        ownRunningAtReport = 0;
    }

    void disconnected() {
        incarnation = "";
    }

    void report(LoadReport newReport) {
        report = newReport;
        ownRunningAtReport = ownRunning;
    }

    void started() {
        ownRunning++;
    }

    void ended(boolean failed, long nowMillis) {
        ownRunning = Math.max(0, ownRunning - 1);
        trial = false;
        if (!failed) {
            failuresInRow = 0;
            ejectionMillis = 0;
            return;
        }
        failuresInRow++;
        if (failuresInRow >= FAILURES_TO_EJECT) {
            ejectionMillis = Math.min(LONGEST_EJECTION_MILLIS, Math.max(FIRST_EJECTION_MILLIS, 2 * ejectionMillis));
            ejectedUntilMillis = nowMillis + ejectionMillis;
        }
    }

    /** After an ejection one request at a time is let through until one succeeds. */
    boolean takesWork(long nowMillis) {
        boolean listed = !server.leaving() && !report.leaving() && !incarnation.isEmpty();
        boolean recovering = failuresInRow >= FAILURES_TO_EJECT;
        boolean ejected = recovering && (nowMillis < ejectedUntilMillis || trial);
        return listed && !ejected;
    }

    void chosen() {
        trial = failuresInRow >= FAILURES_TO_EJECT;
    }

    /** The report lags; what this entry itself started since then is added. */
    double load() {
        int sinceReport = Math.max(0, ownRunning - ownRunningAtReport);
        return (report.running() + sinceReport) / (double) Math.max(1, report.capacity());
    }
}
