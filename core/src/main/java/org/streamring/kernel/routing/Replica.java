package org.streamring.kernel.routing;

import org.streamring.model.box.BackendServer;

/** What an entry knows of one replica. Guarded by {@link ReplicaTable}. */
final class Replica {
    private BackendServer server;
    private String incarnation = "";
    private LoadReport report = LoadReport.NONE;
    private int ownRunning;
    private int ownRunningAtReport;
    private final Ejection ejection = new Ejection();
    private final Pace pace = new Pace();

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
        ejection.started();
    }

    void ended(AttemptResult result, long nowMillis) {
        ownRunning = Math.max(0, ownRunning - 1);
        ejection.ended(result, nowMillis);
    }

    /** Whether it is there for new work at all. */
    boolean available() {
        return !server.leaving() && !report.leaving() && !incarnation.isEmpty();
    }

    boolean ejected(long nowMillis) {
        return ejection.ejected(nowMillis);
    }

    /** The report lags; what this entry itself started since then is added. */
    private int running() {
        return report.running() + Math.max(0, ownRunning - ownRunningAtReport);
    }

    Pace pace() {
        return pace;
    }

    /**
     * Itself as a candidate.
     *
     * @param typicalPace time per unit of work of a typical replica of the service, in milliseconds; 0 if not known
     */
    Candidate candidate(double typicalPace, long nowMillis) {
        double handicap = ejection.returnFactor(nowMillis) * pace.slowness(typicalPace, nowMillis);
        return new Candidate(server, incarnation, running(), report.capacity(), handicap);
    }
}
