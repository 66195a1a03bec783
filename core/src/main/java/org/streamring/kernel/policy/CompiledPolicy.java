package org.streamring.kernel.policy;

/** Policy that can be evaluated. Implementations are thread-safe. */
public interface CompiledPolicy {
    /** Returns whether the request is admitted. */
    boolean admits(PolicyInput input) throws PolicyException;

    /** Returns the rank of the request; rank 0 is served first. */
    int rank(PolicyInput input) throws PolicyException;

    /** Returns the cost of a candidate; the one with the lowest cost is chosen. */
    double score(PolicyInput input, CandidateInput candidate) throws PolicyException;
}
