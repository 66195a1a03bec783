package org.streamring.standin.model;

/** A link or a processor that does one thing after another at a fixed pace. */
final class Backlog {
    private final double perMilli;
    private double freeMillis;

    /**
     * Creates one that is free.
     *
     * @param perMilli what it does in a millisecond
     */
    Backlog(double perMilli) {
        this.perMilli = perMilli;
    }

    /**
     * Adds work.
     *
     * @param readyMillis when it can begin
     * @return when it is done
     */
    double add(double readyMillis, double work) {
        freeMillis = Math.max(freeMillis, readyMillis) + work / perMilli;
        return freeMillis;
    }
}
