package org.streamring.kernel.policy;

/** A policy ready to be evaluated; safe for use by many threads. */
public interface CompiledPolicy {
    /** Whether the request may run. */
    boolean admits(PolicyInput input) throws PolicyException;

    /** Rank from 0, served first. */
    int rank(PolicyInput input) throws PolicyException;

    /** Cost of a candidate; the lowest wins. */
    double score(PolicyInput input, CandidateInput candidate) throws PolicyException;
}
