package org.streamring.model.declaration;

/**
 * A priority class.
 *
 * @param rank 0 is served first and refused last; at most {@value #LOWEST_RANK}
 */
public record PriorityClass(int rank) {
    /** Class used when an account names none. */
    public static final String DEFAULT_NAME = "normal";
    /** Rank of the class that is refused first. */
    public static final int LOWEST_RANK = 9;
    /** Rank used when the default class is not declared. */
    public static final int DEFAULT_RANK = 5;
}
