package org.streamring.model.declaration;

/**
 * Declaration of a priority class.
 *
 * @param rank priority rank; 0 is served first and refused last; at most {@value #LOWEST_RANK}
 */
public record PriorityClass(int rank) {
    /** Name of the class used for accounts without a declared class. */
    public static final String DEFAULT_NAME = "normal";
    /** Rank of the class that is refused first. */
    public static final int LOWEST_RANK = 9;
    /** Rank used when the default class is not declared. */
    public static final int DEFAULT_RANK = 5;
}
