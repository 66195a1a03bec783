package org.streamring.kernel.routing;

import java.util.Set;

/**
 * Properties of the request that a replica is chosen for.
 *
 * @param tried names of the replicas that were already tried for the request
 * @param triedDomains failure domains of these replicas; another failure domain is preferred if one is available
 * @param key identifier of the request given by the caller; empty if there is none
 * @param rank priority rank of the request; 0 is the most urgent
 * @param prefix prefix hashes of the prompt
 */
public record RouteQuery(Set<String> tried, Set<String> triedDomains, String key, int rank, PromptPrefix prefix) {
    /** First attempt of a request of the most urgent rank without an identifier or a prompt. */
    public static final RouteQuery FIRST_TRY = new RouteQuery(Set.of(), Set.of(), "", 0, PromptPrefix.NONE);
}
