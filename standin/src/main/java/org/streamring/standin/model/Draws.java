package org.streamring.standin.model;

import java.util.Random;

/** Random sizes and choices. */
final class Draws {
    private Draws() {}

    /** A size with a mean, spread as a lognormal distribution; the mean itself where there is no spread. */
    static double spread(Random random, double mean, double sigma) {
        return sigma <= 0 ? mean : mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }

    /** Weights that fall with the rank, the first being the largest; their sum is 1. */
    static double[] skewed(int count, double skew) {
        double[] weights = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1.0, -skew);
            sum += weights[i];
        }
        for (int i = 0; i < count; i++) {
            weights[i] /= sum;
        }
        return weights;
    }

    /** Draws an index by weights that need not sum up to 1. */
    static int index(Random random, double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double left = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
