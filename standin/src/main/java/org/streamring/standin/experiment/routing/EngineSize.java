package org.streamring.standin.experiment.routing;

import java.util.List;

/**
 * Size of the engines, from which the load is worked out.
 *
 * @param engines number of engines
 * @param batch sequences in one step
 * @param stepMillis time of one step
 * @param prefillTokens prompt tokens read in one step
 */
record EngineSize(int engines, int batch, int stepMillis, int prefillTokens) {
    private static final double MILLIS = 1000;

    /** Requests a second that fill every place of every engine, if no part of any prompt is cached. */
    double requestsPerSecond(List<RequestKind> mix) {
        double steps = mix.stream()
                .mapToDouble(kind -> kind.share() * (kind.answerTokens() + readingSteps(kind)))
                .sum();
        return engines * batch * MILLIS / (steps * stepMillis);
    }

    private double readingSteps(RequestKind kind) {
        return Math.ceil(kind.promptTokens() / (double) prefillTokens);
    }
}
