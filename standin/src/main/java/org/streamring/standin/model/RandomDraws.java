package org.streamring.standin.model;

import java.util.Random;

/** Random sizes and weighted choices. */
final class RandomDraws {
    private RandomDraws() {}

    /** Returns a lognormally distributed size with the given mean, or the mean itself if sigma is 0 or below. */
    static double lognormal(Random random, double mean, double sigma) {
        return sigma <= 0 ? mean : mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }

    /** Returns the weights of a Zipf distribution in descending order; their sum is 1. */
    static double[] zipfWeights(int count, double skew) {
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

    /** Returns a random index with probabilities proportional to the weights, whose sum may differ from 1. */
    static int weightedIndex(Random random, double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
