package org.streamring.standin.model;

/** A queue with a single server of constant rate, such as a link or a processor. */
final class Backlog {
    private final double workPerMilli;
    private double idleFromMillis;

    /**
     * Creates an idle queue.
     *
     * @param workPerMilli amount of work done per millisecond
     */
    Backlog(double workPerMilli) {
        this.workPerMilli = workPerMilli;
    }

    /**
     * Adds work to the queue.
     *
     * @param readyMillis earliest time at which the work can start
     * @return time at which the work is done
     */
    double add(double readyMillis, double work) {
        idleFromMillis = Math.max(idleFromMillis, readyMillis) + work / workPerMilli;
        return idleFromMillis;
    }
}
