package org.streamring.kernel.policy;

/**
 * What a policy sees of a candidate.
 *
 * @param name backend server
 * @param failureDomain its failure domain
 * @param sameDomain whether that is the entry's own
 * @param load attempts in progress with this one, over capacity; raised while the server is slower than others or comes
 *     back after failures
 */
public record CandidateInput(String name, String failureDomain, boolean sameDomain, double load) {}
