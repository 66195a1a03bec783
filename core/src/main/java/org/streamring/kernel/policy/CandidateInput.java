package org.streamring.kernel.policy;

/**
 * Properties of a candidate backend server that a policy can use.
 *
 * @param name name of the backend server
 * @param failureDomain failure domain of the backend server
 * @param sameDomain whether the entry is in the same failure domain
 * @param load attempts in progress, including this one, divided by capacity; increased while the server is slower than
 *     others or recovers from failures
 */
public record CandidateInput(String name, String failureDomain, boolean sameDomain, double load) {}
