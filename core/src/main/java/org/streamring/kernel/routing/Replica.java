package org.streamring.kernel.routing;

import org.streamring.model.box.BackendServer;

/** State of one replica as recorded by an entry. Guarded by the lock of {@link ReplicaTable}. */
final class Replica {
    private BackendServer server;
    private String incarnation = "";
    private LoadReport report = LoadReport.NONE;
    private int ownRunning;
    private int ownRunningAtReport;
    private final Ejection ejection = new Ejection();
    private final AverageServiceTime serviceTime = new AverageServiceTime();

    Replica(BackendServer server) {
        this.server = server;
    }

    BackendServer server() {
        return server;
    }

    void updateServer(BackendServer newServer) {
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

    /** Returns whether the sidecar is connected and the replica is not shutting down. */
    boolean available() {
        return !server.leaving() && !report.leaving() && !incarnation.isEmpty();
    }

    boolean ejected(long nowMillis) {
        return ejection.ejected(nowMillis);
    }

    /**
     * Returns the reported attempts in progress plus those that this entry has started since the report, which lags
     * behind.
     */
    private int running() {
        return report.running() + Math.max(0, ownRunning - ownRunningAtReport);
    }

    AverageServiceTime serviceTime() {
        return serviceTime;
    }

    /**
     * Returns this replica as a candidate.
     *
     * @param typicalMillisPerUnit time per unit of work of a typical replica of the service; 0 if unknown
     */
    Candidate candidate(double typicalMillisPerUnit, long nowMillis) {
        double handicap =
                ejection.rampUpFactor(nowMillis) * serviceTime.slownessFactor(typicalMillisPerUnit, nowMillis);
        return new Candidate(server, incarnation, running(), report.capacity(), handicap);
    }
}
