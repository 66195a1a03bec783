package org.streamring.standin.experiment.routing;

import java.util.List;

/**
 * Size of the engines, from which their capacity is calculated.
 *
 * @param engines number of engines
 * @param batch maximum number of sequences in a step
 * @param stepMillis duration of a step
 * @param prefillTokens prompt tokens read in a step
 */
record EngineSize(int engines, int batch, int stepMillis, int prefillTokens) {
    private static final double MILLIS_PER_SECOND = 1000;

    /** Returns the request rate that keeps all batch slots of all engines busy if no part of a prompt is cached. */
    double requestsPerSecond(List<RequestKind> mix) {
        double steps = mix.stream()
                .mapToDouble(kind -> kind.share() * (kind.answerTokens() + prefillSteps(kind)))
                .sum();
        return engines * batch * MILLIS_PER_SECOND / (steps * stepMillis);
    }

    private double prefillSteps(RequestKind kind) {
        return Math.ceil(kind.promptTokens() / (double) prefillTokens);
    }
}
